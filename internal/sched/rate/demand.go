package rate

import (
	"math"
	"time"
)

// demandHalfLife is the time after which an arrival counts half.
const demandHalfLife = time.Second

// Demand estimates the arrival rate of one workspace at one entry as an exponentially decaying average. It is
// immutable.
type Demand struct {
	rate      float64
	updatedAt time.Time
}

// WithArrival returns the estimate after one more arrival.
func (d Demand) WithArrival(now time.Time) Demand {
	return Demand{rate: d.PerSecond(now) + math.Ln2/demandHalfLife.Seconds(), updatedAt: now}
}

// PerSecond returns the estimated arrivals per second.
func (d Demand) PerSecond(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.rate * math.Exp2(-now.Sub(d.updatedAt).Seconds()/demandHalfLife.Seconds())
}
