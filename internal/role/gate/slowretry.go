package gate

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/sched/retry"
	"galenaward.example/galenaward/internal/state/layout"
)

const (
	// slowTimeoutFactor is how many times the route's typical latency a retryable call waits at one upstream before it
	// is sent to another. The wait doubles with each attempt.
	slowTimeoutFactor = 4
	// minSlowTimeout is the lower bound of that wait.
	minSlowTimeout = 120 * time.Millisecond
	// maxSlowTimeoutFraction is the fraction of the remaining time that the wait may take. Beyond it the call stays
	// where it is, since the next attempt would have too little time.
	maxSlowTimeoutFraction = 0.5
)

// slowRetries limits how often retryable calls are moved away from slow upstreams. The budget prevents extra load on a
// service that is slow as a whole. The zero value is ready for use.
type slowRetries struct{ budget retry.Budget }

// slowTimeout returns how long the call may wait at its next upstream before it is moved; zero means that it is not
// moved.
func (g *Gateway) slowTimeout(a *attempts, now time.Time) time.Duration {
	if a.route.Kind != layout.Idempotent || a.sent+1 >= a.route.MaxAttempts {
		return 0
	}
	usual := g.latencies.typical(a.route.Name)
	if usual == 0 {
		return 0
	}
	limit := max(minSlowTimeout, slowTimeoutFactor*usual) << a.sent
	if float64(limit) > maxSlowTimeoutFraction*float64(a.deadline.Sub(now)) {
		return 0
	}
	return limit
}

// withSlowTimeout returns a context for one attempt, which is cancelled when the call is moved to another upstream, and
// a function that stops the timer once the response has arrived.
func (g *Gateway) withSlowTimeout(
	ctx context.Context, a *attempts,
) (limited context.Context, cancel context.CancelFunc, arrived func()) {
	limited, cancel = context.WithCancel(ctx)
	limit := g.slowTimeout(a, time.Now())
	if limit == 0 {
		return limited, cancel, func() {}
	}
	t := time.AfterFunc(limit, func() {
		if g.slowRetries.budget.TryRetry() {
			g.metrics.Add("calls_moved_on", 1)
			cancel()
		}
	})
	return limited, cancel, func() { t.Stop() }
}
