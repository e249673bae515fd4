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

// UnansweredSet matches requests without a complete answer with upstreams that end at about the same time. A process
// that sees a connection break, or no answer at all, learns only later from others that the upstream crashed.
// UnansweredSet is not safe for concurrent use; use NewUnansweredSet to create one. S identifies one start of an
// upstream.
type UnansweredSet[S comparable] struct {
	// window is the longest time between a request and the end of its upstream, in either order.
	window time.Duration
	// maxPending limits the pending requests; beyond it, the oldest are dropped.
	maxPending int
	// pending holds the requests in order of arrival.
	pending []pendingRequest[S]
	endedAt map[S]time.Time
}

type pendingRequest[S comparable] struct {
	UnansweredRequest
	start S
}

// NewUnansweredSet returns an empty set.
func NewUnansweredSet[S comparable](window time.Duration, maxPending int) *UnansweredSet[S] {
	return &UnansweredSet[S]{window: window, maxPending: maxPending, endedAt: make(map[S]time.Time)}
}

// Add adds a request, and reports whether its upstream is already known to have ended; such a request is not kept.
func (u *UnansweredSet[S]) Add(s S, r UnansweredRequest) (matched bool) {
	u.expire(r.At)
	if _, ok := u.endedAt[s]; ok {
		return true
	}
	if len(u.pending) >= u.maxPending {
		u.pending = slices.Delete(u.pending, 0, 1)
	}
	u.pending = append(u.pending, pendingRequest[S]{r, s})
	return false
}

// UpstreamEnded records the end of an upstream and returns the requests that it left unanswered.
func (u *UnansweredSet[S]) UpstreamEnded(s S, now time.Time) []UnansweredRequest {
	u.expire(now)
	u.endedAt[s] = now
	var out []UnansweredRequest
	u.pending = slices.DeleteFunc(u.pending, func(o pendingRequest[S]) bool {
		if o.start == s {
			out = append(out, o.UnansweredRequest)
		}
		return o.start == s
	})
	return out
}

// expire drops requests and ends that are too old to match anything.
func (u *UnansweredSet[S]) expire(now time.Time) {
	n := 0
	for n < len(u.pending) && now.Sub(u.pending[n].At) > u.window {
		n++
	}
	u.pending = slices.Delete(u.pending, 0, n)
	for s, at := range u.endedAt {
		if now.Sub(at) > u.window {
			delete(u.endedAt, s)
		}
	}
}
