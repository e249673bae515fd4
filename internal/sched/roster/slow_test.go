package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// play sends calls of very different sizes to twelve upstreams, two of which take x times longer, and returns the part that
// the two got in the second half.
func play(x float64, calls int) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	tb := New()
	for i := range 12 {
		tb.Update(up(fmt.Sprint("e", i)))
	}
	var pace Pace
	at := now
	slow := 0
	for n := range calls {
		at = at.Add(30 * time.Millisecond)
		u, _ := tb.Pick(Want{Service: "s", DataCentre: "a"}, at)
		took := time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond))
		if u.Instance == "e0" || u.Instance == "e1" {
			took = time.Duration(x * float64(took))
			if n > calls/2 {
				slow++
			}
		}
		tb.Timed(u.Instance, pace.Ratio(took), at)
		pace = pace.With(took)
		tb.Done(u.Instance, Answered, at)
	}
	return float64(slow) / float64(calls/2)
}

// TestSlowUpstreamGetsLittle is the pattern of workers that turn slow and answer healthily: they get little, but are
// tried again.
func TestSlowUpstreamGetsLittle(t *testing.T) {
	is := is.New(t)
	usual, slow := play(1, 4000), play(5, 4000)
	t.Logf("two of twelve upstreams get %.3f of the calls, five times slower %.3f", usual, slow)
	is.True(usual > 0.11)
	is.True(slow < 0.06)
	is.True(slow > 0)
}

// TestSlowUpstreamIsForgiven checks that an upstream which is quick again soon counts as such.
func TestSlowUpstreamIsForgiven(t *testing.T) {
	is := is.New(t)
	var s slowness
	for range 20 {
		s = s.withTime(5, now)
	}
	is.True(s.factor(now) > 4)
	is.True(s.factor(now.Add(3*slowHalfLife)) < 1.2)
	for range 10 {
		s = s.withTime(1, now)
	}
	is.Equal(s.factor(now), 1.0)
}

// TestOneLongCallChangesLittle checks that a single request which takes long does not shut its upstream out.
func TestOneLongCallChangesLittle(t *testing.T) {
	is := is.New(t)
	is.True(slowness{}.withTime(1000, now).factor(now) < 2)
}

// TestSlowUpstreamIsUsedWhenOthersAreFull checks that slowness is weighed against load.
func TestSlowUpstreamIsUsedWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(up("quick"))
	tb.Update(up("slow"))
	for range 10 {
		tb.Timed("slow", 4, now)
	}
	picked := make(map[string]int)
	for range 60 {
		u, ok := tb.Pick(Want{Service: "s", DataCentre: "a"}, now)
		is.True(ok)
		picked[u.Instance]++
	}
	is.True(picked["quick"] > 2*picked["slow"])
	is.True(picked["slow"] > 0)
}

// TestChangesOfSpeedAreToldOnce checks that a belief is told when it changes, not with each time.
func TestChangesOfSpeedAreToldOnce(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(up("x"))
	var told []Change
	tell := func(c Change, ok bool) {
		if ok {
			told = append(told, c)
		}
	}
	for range 20 {
		tell(tb.Timed("x", 6, now))
	}
	for range 20 {
		tell(tb.Waited("x", 1, now)) // A short wait tells nothing.
	}
	for range 20 {
		tell(tb.Timed("x", 1, now))
	}
	is.Equal(len(told), 2)
	is.True(told[0].Slow)
	is.True(!told[1].Slow)
}
