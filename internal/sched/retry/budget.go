// Package retry limits retries to a fraction of the requests, so that they cannot multiply the load on upstreams that
// are already failing.
package retry

import "sync"

const (
	// retriesPerRequest is the fraction of a retry that each request earns.
	retriesPerRequest = 0.1
	// initialRetries is the number of retries allowed before any were earned.
	initialRetries = 10
)

// Budget counts the requests and retries of one process. The zero value is ready to use and safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// used is the number of retries beyond those earned; it stays between zero and initialRetries.
	used float64
}

// RecordRequest records a request, which earns a fraction of a retry.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-retriesPerRequest)
}

// TryRetry reports whether one more retry is within the budget, and counts it if so.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+1 > initialRetries {
		return false
	}
	b.used++
	return true
}
