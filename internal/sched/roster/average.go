package roster

import (
	"math"
	"time"
)

// decayingAverage is a moving average that decays towards zero while no values are added. The zero value is zero.
type decayingAverage struct {
	last      float64
	updatedAt time.Time
}

func (a decayingAverage) value(halfLife time.Duration, now time.Time) float64 {
	if a.updatedAt.IsZero() {
		return 0
	}
	return a.last * math.Exp2(-now.Sub(a.updatedAt).Seconds()/halfLife.Seconds())
}

// with returns the average after one more value.
func (a decayingAverage) with(x, weight float64, halfLife time.Duration, now time.Time) decayingAverage {
	v := a.value(halfLife, now)
	return decayingAverage{last: v + weight*(x-v), updatedAt: now}
}
