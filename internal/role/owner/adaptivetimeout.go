package owner

import (
	"sync"
	"time"
)

const (
	// minTimeout is the minimum time after which an answer counts as lost; the store usually answers within a few
	// milliseconds.
	minTimeout = 100 * time.Millisecond
	// maxTimeout is the maximum timeout of one attempt.
	maxTimeout = 1500 * time.Millisecond
	// timeoutFactor is the multiple of the average response time after which an answer counts as lost.
	timeoutFactor = 5
	// newestWeight is the weight of the newest response time in the moving average.
	newestWeight = 0.3
)

// adaptiveTimeout derives the time after which a repeatable store call is repeated from a moving average of the store's
// response time. Calls are repeated early while the store is fast, since the answer may be lost, and later while it is
// slow. The zero value is ready for use.
type adaptiveTimeout struct {
	mu      sync.Mutex
	average time.Duration
	// returned is closed and replaced when the store answers again after an outage; nil until it is first asked for.
	returned chan struct{}
}

// storeReturned returns a channel that is closed when the store answers again after an outage.
func (t *adaptiveTimeout) storeReturned() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.returned == nil {
		t.returned = make(chan struct{})
	}
	return t.returned
}

// markReturned ends the wait of all calls for the next attempt.
func (t *adaptiveTimeout) markReturned() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.returned != nil {
		close(t.returned)
		t.returned = nil
	}
}

// observe adds a response time to the moving average.
func (t *adaptiveTimeout) observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.average += time.Duration(newestWeight * float64(d-t.average))
}

// timeout returns the time after which a call without an answer is repeated.
func (t *adaptiveTimeout) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(maxTimeout, max(minTimeout, timeoutFactor*t.average))
}
