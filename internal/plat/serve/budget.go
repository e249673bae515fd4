package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// smallRequest is the size up to which a request may use the reserve. Ordinary heads and bodies are smaller.
	smallRequest = 128 << 10
	// reserveDivisor is the part of the budget that is kept for small requests.
	reserveDivisor = 4
	// maxBudgetWaiters bounds the requests that wait for memory, since each release wakes all of them.
	maxBudgetWaiters = 64
)

// ErrBudget is returned by reads of a body for which there is no memory. The request has not run.
var ErrBudget = errors.New("no memory for the request")

// Budget bounds the memory for data of requests that are read and not yet answered, or of answers. A nil budget has no bound. Without
// pressure a reservation is one atomic operation.
type Budget struct {
	total atomic.Int64
	// used may exceed total by the size of one request: a request that is alone is never refused.
	used atomic.Int64
	// wait bounds the time that a reservation waits.
	wait    time.Duration
	waiters atomic.Int64
	mu      sync.Mutex
	// freed is closed at the next release while there are waiters.
	freed chan struct{}
}

// NewBudget returns a budget of the given number of bytes, for which a request waits for at most the given time.
func NewBudget(total int64, wait time.Duration) *Budget {
	b := &Budget{wait: wait, freed: make(chan struct{})}
	b.total.Store(total)
	return b
}

// SetTotal changes the bound for subsequent reservations.
func (b *Budget) SetTotal(total int64) { b.total.Store(total) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Reserve reserves n bytes for a request that holds held bytes already. It waits for a short time if there is no room,
// and reports whether the bytes are reserved.
func (b *Budget) Reserve(ctx context.Context, n, held int64) bool {
	if b == nil || b.try(n, held) {
		return true
	}
	if b.waiters.Add(1) > maxBudgetWaiters {
		b.waiters.Add(-1)
		return false
	}
	defer b.waiters.Add(-1)
	timeout := time.NewTimer(b.wait)
	defer timeout.Stop()
	for {
		b.mu.Lock()
		freed := b.freed
		b.mu.Unlock()
		if b.try(n, held) { // Once more, since bytes may have been released before freed was read.
			return true
		}
		select {
		case <-freed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// TryReserve is Reserve without a wait.
func (b *Budget) TryReserve(n, held int64) bool { return b == nil || b.try(n, held) }

func (b *Budget) try(n, held int64) bool {
	bound := b.total.Load()
	if held+n > smallRequest {
		bound -= bound / reserveDivisor
	}
	for {
		used := b.used.Load()
		if used+n > bound && used > held {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns reserved bytes.
func (b *Budget) Release(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.used.Add(-n)
	if b.waiters.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.freed)
	b.freed = make(chan struct{})
}
