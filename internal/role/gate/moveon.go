package gate

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/sched/retry"
	"galenaward.example/galenaward/internal/state/layout"
)

const (
	// moveOnFactor is how many times the usual time of its route a repeatable call waits at one upstream before it is
	// sent to another. Each further try waits twice as long.
	moveOnFactor = 4
	// leastMoveOn is the least of that time.
	leastMoveOn = 120 * time.Millisecond
	// moveOnPart is the part of the time left beyond which a call is not moved, since the next try would be cut short.
	moveOnPart = 0.5
)

// mover lets calls that may be repeated leave upstreams that take far longer than usual. A budget keeps a service that is
// slow as a whole from getting more load for it. The zero value is ready for use.
type mover struct{ budget retry.Budget }

// moveOnAfter returns how long the call may wait at its next upstream, zero for as long as it has.
func (g *Gate) moveOnAfter(a *attempts, now time.Time) time.Duration {
	if a.route.Kind != layout.Idempotent || a.sent+1 >= a.route.MaxAttempts {
		return 0
	}
	usual := g.paces.usual(a.route.Name)
	if usual == 0 {
		return 0
	}
	limit := max(leastMoveOn, moveOnFactor*usual) << a.sent
	if float64(limit) > moveOnPart*float64(a.until.Sub(now)) {
		return 0
	}
	return limit
}

// waiting returns a context for the wait for one upstream's answer, which ends early if the call moves on, and a function
// that ends the limit once the answer is there.
func (g *Gate) waiting(ctx context.Context, a *attempts) (limited context.Context, cancel context.CancelFunc, arrived func()) {
	limited, cancel = context.WithCancel(ctx)
	limit := g.moveOnAfter(a, time.Now())
	if limit == 0 {
		return limited, cancel, func() {}
	}
	t := time.AfterFunc(limit, func() {
		if g.mover.budget.Retry() {
			g.metrics.Add("calls_moved_on", 1)
			cancel()
		}
	})
	return limited, cancel, func() { t.Stop() }
}
