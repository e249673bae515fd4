package learn

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// TestPaceDecaysToMeans guards against a reported pace that is used long after it was reported.
func TestPaceDecaysToMeans(t *testing.T) {
	is := is.New(t)
	var p Pace
	at := start
	for range 40 {
		at = at.Add(time.Second)
		p = p.WithReport(100, at)
	}
	p = p.WithReport(250, at)
	is.True(math.Abs(p.At(1, at)-2.5) < 0.01)
	is.True(math.Abs(p.At(1, at.Add(time.Second))-1) < 0.2)
	is.True(math.Abs(p.At(1.3, at.Add(time.Minute))-1.3) < 0.01)
}

// TestFalsePaceIsBounded guards against reports that attract or repel all requests.
func TestFalsePaceIsBounded(t *testing.T) {
	tests := []struct {
		name    string
		percent int
		want    float64
	}{
		{"none", 0, 1},
		{"far too low", 1, minPace},
		{"far too high", math.MaxInt, maxPace},
		{"negative", -5, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Pace{}.WithReport(tt.percent, start).At(1, start), tt.want)
		})
	}
}

// TestLoadDecaysToMeans guards against upstreams that look idle because nothing was heard of them.
func TestLoadDecaysToMeans(t *testing.T) {
	is := is.New(t)
	l, variance := Load{}.At(0.6, 6, start)
	is.Equal(l, 0.6)
	is.True(variance > 0)
	reported := Load{}.WithReport(0, start)
	l, variance = reported.At(0.6, 6, start)
	is.Equal(l, 0.0)
	is.Equal(variance, 0.0)
	l, _ = reported.At(0.6, 6, start.Add(time.Minute))
	is.True(math.Abs(l-0.6) < 0.01)
	l, _ = Load{}.WithReport(math.Inf(1), start).At(0.6, 6, start)
	is.Equal(l, float64(maxReportedLoad))
}

// TestSpeedFollowsChanges guards against a time factor that is wrong for long after an upstream's speed has changed from 1.7
// to 0.7 of the usual. It compares the estimate with a moving average of fixed weight, as the roster's slowdown uses.
func TestSpeedFollowsChanges(t *testing.T) {
	tests := []struct {
		name string
		// every is the time between two observations, spread their range around the mean.
		every  time.Duration
		spread float64
		// maxBefore is the error allowed after 12 s at one speed, maxAfter that from 2 to 8 s after the change.
		maxBefore, maxAfter float64
	}{
		{"calls, two per second", 500 * time.Millisecond, 0.6, 0.15, 0.15},
		{"streams, one in two seconds", 2 * time.Second, 0.15, 0.08, 0.15},
	}
	const fast, slow, fixedWeight = 1 / 1.7, 1 / 0.7, 0.2
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var before, after, fixedBefore, fixedAfter float64
			const runs = 100
			for seed := range uint64(runs) {
				rng := rand.New(rand.NewPCG(seed, 3))
				var s Speed
				fixed, n := 1.0, 0.0
				var sum, fixedSum float64
				for at := time.Duration(0); at <= 20*time.Second; at += tt.every {
					factor := fast
					if at >= 12*time.Second {
						factor = slow
					}
					x := factor * (1 + tt.spread*(2*rng.Float64()-1))
					s = s.WithTime(x, 1, start.Add(at))
					fixed += fixedWeight * (x - fixed)
					if at < 12*time.Second {
						sum, fixedSum = math.Abs(s.At(1, start.Add(at))/factor-1), math.Abs(fixed/factor-1)
					} else if at == 12*time.Second {
						before, fixedBefore = before+sum/runs, fixedBefore+fixedSum/runs
						sum, fixedSum = 0, 0
					} else if at >= 14*time.Second {
						sum, fixedSum, n = sum+math.Abs(s.At(1, start.Add(at))/factor-1), fixedSum+math.Abs(fixed/factor-1), n+1
					}
				}
				after, fixedAfter = after+sum/n/runs, fixedAfter+fixedSum/n/runs
			}
			t.Logf("mean error before the change %.2f, after it %.2f; fixed weight %.2f, %.2f", before, after, fixedBefore, fixedAfter)
			is.True(before < tt.maxBefore)
			is.True(after < tt.maxAfter)
			is.True(after < 1.05*fixedAfter) // With noisy times there is nothing to gain.
		})
	}
}
