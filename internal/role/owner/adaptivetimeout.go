package owner

import (
	"sync"
	"time"
)

const (
	// minTimeout is the minimum timeout of one attempt; the store usually answers within a few milliseconds.
	minTimeout = 100 * time.Millisecond
	// maxTimeout is the maximum timeout of one attempt.
	maxTimeout = 1500 * time.Millisecond
	// shortAttempts is the number of first attempts that all have short timeouts, so that the end of an outage is
	// noticed soon. After them every longAttemptEvery-th attempt gets maxTimeout, for a store that has become very
	// slow.
	shortAttempts    = 8
	longAttemptEvery = 4
	// maxDoublings limits how often the timeout of short attempts is doubled.
	maxDoublings = 2
	// timeoutFactor is the multiple of the average response time after which an answer counts as lost.
	timeoutFactor = 5
	// newestWeight is the weight of the newest response time in the moving average.
	newestWeight = 0.3
)

// adaptiveTimeout derives the timeouts of repeatable store calls from a moving average of the store's response time.
// Calls time out early while the store is fast, since the answer may be lost, and later while it is slow. The zero
// value is ready for use.
type adaptiveTimeout struct {
	mu      sync.Mutex
	average time.Duration
}

// observe adds a response time to the moving average.
func (t *adaptiveTimeout) observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.average += time.Duration(newestWeight * float64(d-t.average))
}

// timeout returns the timeout of an attempt; the first attempt is 0.
func (t *adaptiveTimeout) timeout(attempt int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if attempt >= shortAttempts && attempt%longAttemptEvery == 0 {
		return maxTimeout
	}
	return min(maxTimeout, max(minTimeout, timeoutFactor*t.average)<<min(attempt, maxDoublings))
}
