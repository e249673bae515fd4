package owner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// attemptResult is the outcome of one attempt of a store call.
type attemptResult[T any] struct {
	value T
	err   error
}

// overlapping makes a store call that may safely be repeated with attempts that overlap: an attempt that began while the
// store was silent may never be answered, and one that is abandoned early is never answered by a slow store.
type overlapping[T any] struct {
	// interval returns the time after which the nth attempt, from 0, is followed by another if it has no answer; it is
	// positive.
	interval func(n int) time.Duration
	// returned is closed when the store answers another call again, upon which the call is repeated at once; may be nil.
	returned <-chan struct{}
	attempt  func(context.Context) (T, error)
	// final reports whether the result comes from the store and a repeat would not change it.
	final func(error) bool
}

// call returns the first final result, or the last error when no attempt is left or maxTimeout has passed.
func (o overlapping[T]) call(ctx context.Context) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	results := make(chan attemptResult[T])
	var eg errgroup.Group
	started, running := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	start := func() {
		next.Reset(o.interval(started))
		started++
		running++
		eg.Go(func() error {
			v, err := o.attempt(ctx)
			select {
			case results <- attemptResult[T]{v, err}:
			case <-ctx.Done(): // Nobody waits for the result any more.
			}
			return nil
		})
	}
	start()
	returned := o.returned
	for {
		select {
		case r := <-results:
			running--
			if o.final(r.err) || running == 0 {
				return r.value, r.err
			}
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case <-next.C:
			start()
		case <-returned:
			returned = nil
			start()
		}
	}
}
