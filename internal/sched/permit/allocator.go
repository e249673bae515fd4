// Package permit limits the requests that all gateways together send to a cold upstream, or to one that states a rate cap. The
// allocator of the upstream grants permits from a token bucket. Each permit is valid for one request, which must be sent within Validity after the
// gateway asked, or within CapValidity; unused permits become void, so that nothing has to be returned.
//
// A request that is sent within a window of one second uses a permit that was granted in that window or up to Validity
// before it. With a rate r, at most r x (1 + Validity) + Burst permits are granted in that time, which is below the
// guaranteed r x 1.5 + 5. What remains covers requests that take different times to arrive. For rate caps the window has four
// seconds, and what remains is larger.
package permit

import (
	"math"
	"time"

	"galenaward.example/galenaward/internal/sched/rate"
)

const (
	// Validity is how long a permit may be used, counted from before it was asked for. It covers the round trip to the
	// allocator and the time until the gateway's next request, which arrives some 20 ms later with 50 requests/s. Each
	// further 10 ms take a hundredth of the rate from the reserve for requests that arrive late.
	Validity = 250 * time.Millisecond
	// CapValidity is Validity for upstreams with a rate cap, whose window has four seconds. A gateway may send such an upstream
	// one request in a second.
	CapValidity = time.Second
	// Burst is the number of permits that may be granted at once. It is below the guarantee's slack of 5.
	Burst = 4.0
	// refusalHalfLife is the half-life of the number of refused permits, from which the allocator estimates how many
	// gateways compete for the next one.
	refusalHalfLife = time.Second
	// maxRetryAfter bounds the time after which a gateway may ask again. A cold upstream stays so for tens of seconds.
	maxRetryAfter = 2 * time.Second
)

// minRate is the rate of permits for an upstream whose cap is lower. Without any request it could never state that it accepts
// more again.
const minRate = 0.1

// Rate returns the rate of permits for an upstream that accepts the given number of requests per second.
func Rate(perSecond float64) float64 { return max(minRate, perSecond) }

// Grant is the allocator's answer.
type Grant struct {
	// Permits is the number of permits granted.
	Permits int
	// Validity is how long the permits may be used; zero means the constant.
	Validity time.Duration
	// Refused is the number of permits that were asked for and not granted.
	Refused int
	// RetryAfter is when it is worth asking again, if permits were refused. It grows with the number of refusals, so that
	// gateways that compete for few permits do not ask all the time.
	RetryAfter time.Duration
}

// Allocator grants the permits of one upstream. It is immutable.
type Allocator struct {
	bucket rate.Bucket
	// refusals is the decayed number of refused permits as of refusedAt.
	refusals  float64
	refusedAt time.Time
}

// NewAllocator returns an allocator whose bucket is empty at the given time, which may be in the future: until then, a
// former allocator may grant permits.
func NewAllocator(start time.Time) Allocator { return Allocator{bucket: rate.NewBucket(0, start)} }

// Grant answers a request for n permits of an upstream that handles perSecond requests per second.
func (a Allocator) Grant(perSecond float64, n int, now time.Time) (Allocator, Grant) {
	a.bucket = a.bucket.Refill(rate.Quota{Rate: perSecond, Burst: Burst}, now)
	var g Grant
	for range n {
		b, ok := a.bucket.Take(1)
		if !ok {
			g.Refused++
			continue
		}
		a.bucket = b
		g.Permits++
	}
	if g.Refused > 0 {
		a.refusals, a.refusedAt = a.refused(now)+float64(g.Refused), now
		seconds := (1 - a.bucket.Level() + a.refusals - float64(g.Refused)) / perSecond
		g.RetryAfter = min(maxRetryAfter, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
	}
	return a, g
}

func (a Allocator) refused(now time.Time) float64 {
	if a.refusedAt.IsZero() {
		return 0
	}
	return a.refusals * math.Exp2(-max(0, now.Sub(a.refusedAt).Seconds())/refusalHalfLife.Seconds())
}

// Forgettable reports whether a new allocator that starts at the given time would grant no more than this one, so that it
// need not be kept.
func (a Allocator) Forgettable(perSecond float64, start, now time.Time) bool {
	q := rate.Quota{Rate: perSecond, Burst: Burst}
	return a.bucket.Refill(q, now).Level() >= rate.NewBucket(0, start).Refill(q, now).Level()
}
