package learn

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCurveMatchesReference compares the curve with weighted means over all observations.
func TestCurveMatchesReference(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	for _, slots := range []int{1, 3, 6, 8, 9, 24, 200} {
		type seen struct {
			x  float64
			n  int
			at time.Time
		}
		var all []seen
		var c Curve
		at := start
		for range 200 {
			// So seldom that the bound on the weight of earlier times is not reached.
			at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second)))
			s := seen{0.5 + rng.Float64(), 1 + rng.IntN(slots), at}
			all = append(all, s)
			c = c.WithTime(s.x, s.n, slots, at)
		}
		for i := range levels(slots) {
			sum, weight := 0.0, 0.0
			for _, s := range all {
				if level(s.n, slots) == i {
					w := math.Exp2(-at.Sub(s.at).Seconds() / curveHalfLife.Seconds())
					sum, weight = sum+w*s.x, weight+w
				}
			}
			b := c.buckets[i]
			is.True(math.Abs(b.mean-sum/weight) < 1e-9)
			is.True(math.Abs(b.weight*halved(at.Sub(b.observedAt), curveHalfLife)-weight) < 1e-9)
		}
		is.Equal(top(levels(slots)-1, slots), slots)
	}
}

// modelTime returns the time of a request at an upstream that slows in proportion to the load above the knee.
func modelTime(rng *rand.Rand, factor float64, n, knee int) float64 {
	return factor * max(1, float64(n)/float64(knee)) * (0.4 + 1.2*rng.Float64())
}

// limiter is one of the options that were compared for the limit.
type limiter interface {
	observe(ratio float64, n int, at time.Time)
	limit() float64
}

type curveLimiter struct{ c Capacity }

func (l *curveLimiter) observe(ratio float64, n int, at time.Time) {
	l.c = l.c.WithReport(float64(n-1), 100, at).WithTime(ratio, 0, NoMeans(), at)
}
func (l *curveLimiter) limit() float64 { return float64(l.c.Limit()) }

// gradientLimiter follows the ratio of a long to a short moving average of the times.
type gradientLimiter struct{ long, short, at float64 }

func (l *gradientLimiter) observe(ratio float64, _ int, _ time.Time) {
	if l.long == 0 {
		l.long, l.short = ratio, ratio
	}
	l.long += 0.02 * (ratio - l.long)
	l.short += 0.2 * (ratio - l.short)
	gradient := max(0.5, min(1, l.long/l.short))
	l.at = max(1, min(6, l.at+0.2*(l.at*gradient+1-l.at)))
}
func (l *gradientLimiter) limit() float64 { return l.at }

// aimdLimiter rises by one for as many good times as the limit, and falls by a tenth with each time above twice the best
// moving average.
type aimdLimiter struct{ mean, best, at float64 }

func (l *aimdLimiter) observe(ratio float64, _ int, _ time.Time) {
	if l.mean == 0 {
		l.mean, l.best = ratio, ratio
	}
	l.mean += 0.2 * (ratio - l.mean)
	l.best = min(l.best*1.002, l.mean)
	if ratio > 2*l.best {
		l.at = max(1, 0.9*l.at)
	} else {
		l.at = min(6, l.at+1/l.at)
	}
}
func (l *aimdLimiter) limit() float64 { return l.at }

// limitError returns the mean distance of the limit from the number of requests that the upstream handles well, with three
// observations per second. The knee falls to the given one after 20 s, and is gone after 40 s.
func limitError(l limiter, knee int, factor float64, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	sum, n := 0.0, 0.0
	for at := time.Duration(0); at < time.Minute; at += time.Second / 3 {
		now := 6
		if at > 20*time.Second && at < 40*time.Second {
			now = knee
		}
		running := 1 + rng.IntN(6)
		l.observe(modelTime(rng, factor, running, now), running, start.Add(at))
		sum += math.Abs(l.limit() - float64(now))
		n++
	}
	return sum / n
}

// TestLimitIsFoundWithSparseTimes guards against limits that do not follow an upstream which slows under load, or that
// fall although it does not. A gateway hears from an upstream a few times per second.
func TestLimitIsFoundWithSparseTimes(t *testing.T) {
	is := is.New(t)
	for _, knee := range []int{6, 4, 3, 2} {
		var curve, gradient, aimd float64
		const runs = 20
		for seed := range uint64(runs) {
			for _, factor := range []float64{0.6, 1.4} {
				curve += limitError(&curveLimiter{New(6)}, knee, factor, seed) / (2 * runs)
				gradient += limitError(&gradientLimiter{at: 6}, knee, factor, seed) / (2 * runs)
				aimd += limitError(&aimdLimiter{at: 6}, knee, factor, seed) / (2 * runs)
			}
		}
		t.Logf("knee %d: mean error of the limit: curve %.2f, gradient %.2f, AIMD %.2f", knee, curve, gradient, aimd)
		is.True(curve < gradient)
		is.True(curve < aimd)
	}
}

// TestSlowUpstreamIsForgiven guards against an upstream that is never tried again after it was slow.
func TestSlowUpstreamIsForgiven(t *testing.T) {
	is := is.New(t)
	c := New(6)
	for range 30 {
		c = c.WithTime(8, 5, NoMeans(), start)
	}
	is.True(c.Delay(0, NoMeans(), start) > 4)
	is.True(c.At(start.Add(40*time.Second)).Delay(0, NoMeans(), start.Add(40*time.Second)) < 1.6)
}

// TestDistances covers the distances to data centres, of which connections under load are opened slowly.
func TestDistances(t *testing.T) {
	is := is.New(t)
	var d Distances
	is.Equal(d.RoundTrip("a", "a"), time.Duration(0))
	is.Equal(d.RoundTrip("a", "b"), unmeasuredDistance)
	for _, ms := range []int{5, 4, 90, 4} {
		d = d.WithConnect("b", time.Duration(ms)*time.Millisecond)
	}
	is.Equal(d.RoundTrip("a", "b"), 4*time.Millisecond)
	is.Equal(d.WithConnect("b", 0).RoundTrip("a", "b"), minDistance)
}
