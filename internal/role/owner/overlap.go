package owner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxOverlappingJoins is the number of heartbeats, and maxOverlappingAppends the number of attempts of one append, that
	// may wait for an answer at the same time. Each attempt of an append holds a copy of its records.
	maxOverlappingJoins   = 15
	maxOverlappingAppends = 4
)

// attemptResult is the outcome of one attempt of a store call.
type attemptResult[T any] struct {
	value T
	err   error
}

// overlapping makes a store call that may safely be repeated with attempts that overlap: an attempt that began while the
// store was silent may never be answered, and one that is abandoned early is never answered by a slow store.
type overlapping[T any] struct {
	// interval is the time after which a call without an answer is repeated.
	interval time.Duration
	// limit is the number of attempts that may wait for an answer at the same time; at least 1.
	limit int
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
	results := make(chan attemptResult[T], o.limit+1)
	var eg errgroup.Group
	running := 0
	start := func() {
		running++
		eg.Go(func() error {
			v, err := o.attempt(ctx)
			results <- attemptResult[T]{v, err}
			return nil
		})
	}
	start()
	next := time.NewTicker(max(o.interval, maxTimeout/time.Duration(o.limit)))
	defer next.Stop()
	returned := o.returned
	for {
		select {
		case r := <-results:
			running--
			if o.final(r.err) || running == 0 {
				return r.value, r.err
			}
		case <-next.C:
			start()
		case <-returned:
			returned = nil
			start()
		}
	}
}
