package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailingUpstreamGetsLittleTraffic covers workers that pass health checks but fail requests immediately. Their
// load stays low, and they must not attract more requests because of it.
func TestFailingUpstreamGetsLittleTraffic(t *testing.T) {
	tests := []struct {
		name string
		// failureRate is the share of requests that two of the twelve upstreams fail, maxTraffic the share of calls
		// that they may get together.
		failureRate, maxTraffic float64
	}{
		{"sound", 0, 0.25},
		{"one in a hundred", 0.01, 0.25},
		{"four in ten", 0.4, 0.09},
		{"all", 1, 0.04},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(3, 4))
			tb := New()
			for i := range 12 {
				tb.Update(testUpstream(fmt.Sprint("e", i)))
			}
			type run struct {
				u    Upstream
				ends time.Time
			}
			var running []run
			at, toFailing := now, 0
			const calls = 6000
			for range calls {
				at = at.Add(5 * time.Millisecond)
				for len(running) > 0 && running[0].ends.Before(at) {
					tb.Done(running[0].u.Instance, Answered, at)
					running = running[1:]
				}
				u, ok := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, at)
				is.True(ok)
				failing := u.Instance == "e0" || u.Instance == "e1"
				if failing {
					toFailing++
				}
				if failing && rng.Float64() < tt.failureRate {
					tb.Done(u.Instance, Failed, at)
					continue
				}
				running = append(running, run{u, at.Add(200 * time.Millisecond)})
			}
			t.Logf("two of twelve upstreams get %.3f of the calls", float64(toFailing)/calls)
			is.True(float64(toFailing)/calls < tt.maxTraffic)
			is.True(toFailing > 0)
		})
	}
}

// TestFailingChangeIsReportedOnce checks that a change is reported once, and how a peer's report is used.
func TestFailingChangeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	tb, peer := New(), New()
	tb.Update(testUpstream("x"))
	for _, id := range []string{"x", "y"} {
		peer.Update(testUpstream(id))
	}
	var changes []HealthChange
	for i := range 40 {
		o := Failed
		if i >= 10 {
			o = Answered
		}
		if c, ok := tb.Done("x", o, now); ok {
			changes = append(changes, c)
		}
	}
	is.Equal(len(changes), 2)
	is.True(changes[0].Failing)
	is.True(!changes[1].Failing)

	peer.RecordPeerFailure("x", 1, now)
	peer.RecordPeerFailure("y", 7, now) // Of another start, which is ignored.
	u, _ := peer.Pick(Criteria{Service: "s"}, now)
	is.Equal(u.Instance, "y")
	u, _ = peer.Pick(Criteria{Service: "s", Exclude: []string{"y"}}, now)
	is.Equal(u.Instance, "x") // A failing upstream is picked if there is no other.
}
