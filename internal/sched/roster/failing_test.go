package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailingUpstreamDrawsNoWork is the pattern of workers that answer at once that they failed while their health is good:
// they are never loaded, and must not get the more for it.
func TestFailingUpstreamDrawsNoWork(t *testing.T) {
	tests := []struct {
		name string
		// share of the requests that two of twelve upstreams fail; most is the part of the calls that they may get.
		share, most float64
	}{
		{"sound", 0, 0.25},
		{"a failure in a hundred", 0.01, 0.25},
		{"four in ten", 0.4, 0.09},
		{"all", 1, 0.04},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(3, 4))
			tb := New()
			for i := range 12 {
				tb.Update(up(fmt.Sprint("e", i)))
			}
			type run struct {
				u    Upstream
				ends time.Time
			}
			var under []run
			at, met := now, 0
			const calls = 6000
			for range calls {
				at = at.Add(5 * time.Millisecond)
				for len(under) > 0 && under[0].ends.Before(at) {
					tb.Done(under[0].u.Instance, Answered, at)
					under = under[1:]
				}
				u, ok := tb.Pick(Want{Service: "s", DataCentre: "a"}, at)
				is.True(ok)
				bad := u.Instance == "e0" || u.Instance == "e1"
				if bad {
					met++
				}
				if bad && rng.Float64() < tt.share {
					tb.Done(u.Instance, Failed, at)
					continue
				}
				under = append(under, run{u, at.Add(200 * time.Millisecond)})
			}
			t.Logf("two of twelve upstreams get %.3f of the calls", float64(met)/calls)
			is.True(float64(met)/calls < tt.most)
			is.True(met > 0)
		})
	}
}

// TestFailingIsTold checks that a belief is told when it changes, and what a peer's word does.
func TestFailingIsTold(t *testing.T) {
	is := is.New(t)
	tb, peer := New(), New()
	tb.Update(up("x"))
	for _, id := range []string{"x", "y"} {
		peer.Update(up(id))
	}
	var told []Change
	for i := range 40 {
		o := Failed
		if i >= 10 {
			o = Answered
		}
		if c, ok := tb.Done("x", o, now); ok {
			told = append(told, c)
		}
	}
	is.Equal(len(told), 2)
	is.True(told[0].Failing)
	is.True(!told[1].Failing)

	peer.HeardFailing("x", 1, now)
	peer.HeardFailing("y", 7, now) // Of an earlier start.
	u, _ := peer.Pick(Want{Service: "s"}, now)
	is.Equal(u.Instance, "y")
	u, _ = peer.Pick(Want{Service: "s", Skip: []string{"y"}}, now)
	is.Equal(u.Instance, "x") // Rather than none.
}
