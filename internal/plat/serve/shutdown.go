package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// responseReserve is the time before the end of a graceful shutdown that is kept for sending the last responses.
const responseReserve = 300 * time.Millisecond

// ErrShutdown is the cause of contexts that end because the process is about to exit.
var ErrShutdown = errors.New("the process is shutting down")

// Shutdown decides which requests a process still starts during a graceful shutdown, and ends those that outlast it in
// time for a response. Before Begin it allows everything.
type Shutdown struct {
	schedule atomic.Pointer[schedule]
	closed   atomic.Bool
	// ending ends with cause ErrShutdown when only responseReserve is left.
	ending context.Context
	end    context.CancelCauseFunc
}

// schedule is the timetable of a graceful shutdown.
type schedule struct {
	// drained is when load balancers send no more requests. It is never later than half of the way to end.
	drained time.Time
	// end is when requests must have ended; zero if the shutdown has no time limit.
	end time.Time
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown {
	s := &Shutdown{}
	s.ending, s.end = context.WithCancelCause(context.Background())
	return s
}

// Begin starts a shutdown that ends with ctx. Load balancers notice it within drainTime.
func (s *Shutdown) Begin(ctx context.Context, drainTime time.Duration) {
	now := time.Now()
	sc := &schedule{drained: now.Add(drainTime)}
	if deadline, ok := ctx.Deadline(); ok {
		sc.end = deadline.Add(-responseReserve)
		if half := now.Add(sc.end.Sub(now) / 2); half.Before(sc.drained) {
			sc.drained = half
		}
		time.AfterFunc(time.Until(sc.end), func() { s.end(ErrShutdown) })
	}
	context.AfterFunc(ctx, func() { s.end(ErrShutdown) })
	s.schedule.Store(sc)
}

// Begun reports whether the shutdown has begun.
func (s *Shutdown) Begun() bool { return s.schedule.Load() != nil }

// AwaitDrained waits until load balancers send no more requests, or ctx ends.
func (s *Shutdown) AwaitDrained(ctx context.Context) {
	sc := s.schedule.Load()
	if sc == nil {
		return
	}
	select {
	case <-time.After(time.Until(sc.drained)):
	case <-ctx.Done():
	}
}

// Close marks the moment from which requests that are read are refused. It must be called before idle connections are
// closed: a request that was accepted before is in progress then, so its connection is not idle.
func (s *Shutdown) Close() { s.closed.Store(true) }

// Closed reports whether a request that was just read must be refused.
func (s *Shutdown) Closed() bool { return s.closed.Load() }

// Allows reports whether a request may be sent on, for the first time or again. Once load balancers send no more
// requests, it may only if the process lives until the request's deadline.
func (s *Shutdown) Allows(deadline time.Time) bool {
	sc := s.schedule.Load()
	return sc == nil || sc.end.IsZero() || time.Now().Before(sc.drained) || !deadline.After(sc.end)
}

// Limit returns the deadline, or the time at which requests must have ended if that is earlier.
func (s *Shutdown) Limit(deadline time.Time) time.Time {
	if sc := s.schedule.Load(); sc != nil && !sc.end.IsZero() && sc.end.Before(deadline) {
		return sc.end
	}
	return deadline
}

// WithEnd returns a context that is derived from ctx and also ends, with cause ErrShutdown, in time for a response. The
// returned function must be called.
func (s *Shutdown) WithEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWatch := context.AfterFunc(s.ending, func() { cancel(ErrShutdown) })
	return ctx, func() {
		stopWatch()
		cancel(nil)
	}
}

// Left returns how long the process may still live.
func (s *Shutdown) Left() time.Duration {
	sc := s.schedule.Load()
	if sc == nil || sc.end.IsZero() {
		return 0
	}
	return time.Until(sc.end) + responseReserve
}
