package learn

import "time"

const (
	// curveBuckets is the number of levels of concurrency that are told apart. Engines and workers have 6 or 8 slots.
	curveBuckets = 8
	// curveHalfLife is the half-life of the weight of a time in the curve. Once requests no longer reach a level, what
	// was seen there is forgotten, and the limit rises to it again: this is how a recovered upstream is probed.
	curveHalfLife = 5 * time.Second
	// maxBucketWeight bounds the weight of earlier times.
	maxBucketWeight = 24
	// kneeEvidence is how much smaller the sum of squared errors of a curve with a knee must be than that of a flat one.
	// The work of calls varies by a third around its mean, so each observation adds an eighth by chance.
	kneeEvidence = 0.5
	// scalePrior is the number of observations that the upstream's time on average counts as in a curve's scale.
	scalePrior = 1
)

// Curve holds how an upstream's time depends on the number of requests that it runs concurrently, relative to its time on
// average. The zero value has no observation and is flat. It is immutable.
type Curve struct{ buckets [curveBuckets]bucket }

// bucket is the mean time at one level of concurrency.
type bucket struct {
	mean float64
	// weight is the number of observations as of observedAt, with earlier ones counted less.
	weight     float64
	observedAt time.Time
}

// level returns the index of the bucket for a concurrency.
func level(concurrency, slots int) int {
	n := max(1, min(concurrency, slots))
	if slots <= curveBuckets {
		return n - 1
	}
	return (n*curveBuckets+slots-1)/slots - 1
}

// top returns the highest concurrency of a level.
func top(level, slots int) int {
	if slots <= curveBuckets {
		return level + 1
	}
	return (level + 1) * slots / curveBuckets
}

// levels returns the number of levels that an upstream with the given slots has.
func levels(slots int) int { return min(max(1, slots), curveBuckets) }

// WithTime returns the curve after one more time, as a multiple of the upstream's time on average.
func (c Curve) WithTime(x float64, concurrency, slots int, now time.Time) Curve {
	b := &c.buckets[level(concurrency, slots)]
	b.weight = min(maxBucketWeight, b.weight*halved(now.Sub(b.observedAt), curveHalfLife)) + 1
	b.mean += (min(maxTime, max(minTime, x)) - b.mean) / b.weight
	b.observedAt = now
	return c
}

// fit is the curve that fits the observed times best.
type fit struct {
	// knee is the concurrency above which the time rises in proportion to the load, scale the time below it as a multiple
	// of the upstream's time on average.
	knee  int
	scale float64
}

// fit returns the curve that fits the observed times best. It is flat, with the knee at the number of slots, while the times
// show no rise, and so also while nothing is observed.
func (c Curve) fit(slots int, now time.Time) fit {
	n := levels(slots)
	var weights [curveBuckets]float64
	for i, b := range c.buckets[:n] {
		if b.weight > 0 {
			weights[i] = b.weight * halved(now.Sub(b.observedAt), curveHalfLife)
		}
	}
	best, bestError := c.fitKnee(weights, slots, slots)
	bestError -= kneeEvidence
	for i := n - 2; i >= 0; i-- {
		if f, e := c.fitKnee(weights, top(i, slots), slots); e < bestError {
			best, bestError = f, e
		}
	}
	return best
}

// fitKnee returns the curve with the given knee that fits best, and the weighted sum of its squared relative errors.
func (c Curve) fitKnee(weights [curveBuckets]float64, knee, slots int) (fit, float64) {
	var ratios [curveBuckets]float64
	sum, weight := 0.0, 0.0
	for i, w := range weights {
		if w > 0 {
			ratios[i] = c.buckets[i].mean / rise(top(i, slots), knee)
			sum, weight = sum+w*ratios[i], weight+w
		}
	}
	if weight == 0 {
		return fit{knee, 1}, 0
	}
	f, out := fit{knee, sum / weight}, 0.0
	for i, w := range weights {
		if w > 0 {
			d := ratios[i]/f.scale - 1
			out += w * d * d
		}
	}
	// The upstream's time on average counts as a few observations of a flat curve.
	f.scale = (sum + scalePrior) / (weight + scalePrior)
	return f, out
}

// rise returns the time at a concurrency as a multiple of that at low load, for an upstream with the given knee.
func rise(concurrency, knee int) float64 { return max(1, float64(concurrency)/float64(knee)) }
