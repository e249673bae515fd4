package roster

import (
	"math"
	"time"
)

// fading is a moving average that falls to zero while nothing is seen. The zero value is zero.
type fading struct {
	v  float64
	at time.Time
}

func (f fading) value(halfLife time.Duration, now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.v * math.Exp2(-now.Sub(f.at).Seconds()/halfLife.Seconds())
}

// with returns the average after one more value.
func (f fading) with(x, weight float64, halfLife time.Duration, now time.Time) fading {
	v := f.value(halfLife, now)
	return fading{v: v + weight*(x-v), at: now}
}
