package crash

import (
	"slices"
	"time"
)

// UnansweredRequest is a request that got no complete answer from its upstream, for whatever reason.
type UnansweredRequest struct {
	// Fingerprints are those with which the request may arrive again.
	Fingerprints []uint64
	// Request is the caller's id of the attempt.
	Request string
	At      time.Time
}

// UnansweredSet matches requests without a complete answer with upstreams that end at about the same time. A process that
// sees a connection break, or no answer at all, learns only later from others that the upstream crashed. UnansweredSet is not
// safe for concurrent use; use NewCases to create one. S identifies one start of an upstream.
type UnansweredSet[S comparable] struct {
	// window is the longest time between a case and the end of its upstream, in either order.
	window time.Duration
	// maxPending limits the pending cases; beyond it, the oldest are dropped.
	maxPending int
	// pending holds the cases in order of arrival.
	pending []pendingCase[S]
	endedAt map[S]time.Time
}

type pendingCase[S comparable] struct {
	UnansweredRequest
	start S
}

// NewUnansweredSet returns an empty collection.
func NewUnansweredSet[S comparable](window time.Duration, maxPending int) *UnansweredSet[S] {
	return &UnansweredSet[S]{window: window, maxPending: maxPending, endedAt: make(map[S]time.Time)}
}

// Add adds a case, and reports whether its upstream is already known to have ended; such a case is not kept.
func (c *UnansweredSet[S]) Add(s S, k UnansweredRequest) (matched bool) {
	c.expire(k.At)
	if _, ok := c.endedAt[s]; ok {
		return true
	}
	if len(c.pending) >= c.maxPending {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.pending = append(c.pending, pendingCase[S]{k, s})
	return false
}

// UpstreamEnded records the end of an upstream and returns the cases that it explains.
func (c *UnansweredSet[S]) UpstreamEnded(s S, now time.Time) []UnansweredRequest {
	c.expire(now)
	c.endedAt[s] = now
	var out []UnansweredRequest
	c.pending = slices.DeleteFunc(c.pending, func(o pendingCase[S]) bool {
		if o.start == s {
			out = append(out, o.UnansweredRequest)
		}
		return o.start == s
	})
	return out
}

// expire drops cases and ends that are too old to match anything.
func (c *UnansweredSet[S]) expire(now time.Time) {
	n := 0
	for n < len(c.pending) && now.Sub(c.pending[n].At) > c.window {
		n++
	}
	c.pending = slices.Delete(c.pending, 0, n)
	for s, at := range c.endedAt {
		if now.Sub(at) > c.window {
			delete(c.endedAt, s)
		}
	}
}
