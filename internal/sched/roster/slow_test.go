package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// trafficToSlowUpstreams sends calls of widely differing durations to twelve upstreams, two of which take slowFactor
// times longer, and returns the share of calls that the two got in the second half.
func trafficToSlowUpstreams(slowFactor float64, calls int) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	tb := New()
	for i := range 12 {
		tb.Update(testUpstream(fmt.Sprint("e", i)))
	}
	var typical TypicalTime
	at := now
	toSlow := 0
	for n := range calls {
		at = at.Add(30 * time.Millisecond)
		u, _ := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, at)
		took := time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond))
		if u.Instance == "e0" || u.Instance == "e1" {
			took = time.Duration(slowFactor * float64(took))
			if n > calls/2 {
				toSlow++
			}
		}
		tb.RecordTime(u.Instance, typical.Ratio(took), at)
		typical = typical.WithTime(took)
		tb.Done(u.Instance, Answered, at)
	}
	return float64(toSlow) / float64(calls/2)
}

// TestSlowUpstreamGetsLittleTraffic covers workers that become slow while their health checks pass: they get little
// traffic, but are retried.
func TestSlowUpstreamGetsLittleTraffic(t *testing.T) {
	is := is.New(t)
	usual, slow := trafficToSlowUpstreams(1, 4000), trafficToSlowUpstreams(5, 4000)
	t.Logf("two of twelve upstreams get %.3f of the calls, five times slower %.3f", usual, slow)
	is.True(usual > 0.11)
	is.True(slow < 0.06)
	is.True(slow > 0)
}

// TestSlowUpstreamRecovers checks that an upstream soon no longer counts as slow once its times are normal again.
func TestSlowUpstreamRecovers(t *testing.T) {
	is := is.New(t)
	var s slowdown
	for range 20 {
		s = s.withRatio(5, now)
	}
	is.True(s.factor(now) > 4)
	is.True(s.factor(now.Add(3*slowHalfLife)) < 1.2)
	for range 10 {
		s = s.withRatio(1, now)
	}
	is.Equal(s.factor(now), 1.0)
}

// TestSingleLongCallIsBounded checks that one long request does not exclude its upstream.
func TestSingleLongCallIsBounded(t *testing.T) {
	is := is.New(t)
	is.True(slowdown{}.withRatio(1000, now).factor(now) < 2)
}

// TestSlowUpstreamIsUsedWhenOthersAreFull checks that slowness is weighed against load.
func TestSlowUpstreamIsUsedWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(testUpstream("quick"))
	tb.Update(testUpstream("slow"))
	for range 10 {
		tb.RecordTime("slow", 4, now)
	}
	picked := make(map[string]int)
	for range 60 {
		u, ok := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, now)
		is.True(ok)
		picked[u.Instance]++
	}
	is.True(picked["quick"] > 2*picked["slow"])
	is.True(picked["slow"] > 0)
}

// TestSpeedChangeIsReportedOnce checks that a change is reported once, not with each time.
func TestSpeedChangeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(testUpstream("x"))
	var changes []HealthChange
	collect := func(c HealthChange, ok bool) {
		if ok {
			changes = append(changes, c)
		}
	}
	for range 20 {
		collect(tb.RecordTime("x", 6, now))
	}
	for range 20 {
		collect(tb.RecordWait("x", 1, now)) // A short wait has no effect.
	}
	for range 20 {
		collect(tb.RecordTime("x", 1, now))
	}
	is.Equal(len(changes), 2)
	is.True(changes[0].Slow)
	is.True(!changes[1].Slow)
}
