package poison

import (
	"slices"
	"time"
)

// Case is a request whose upstream gave it no whole answer, for whatever reason.
type Case struct {
	// Fingerprints are those under which the request may come again.
	Fingerprints []uint64
	// Request is the caller's id of the attempt.
	Request string
	At      time.Time
}

// Cases matches requests without an answer with upstreams that end at about that time. Who sees a connection break, or
// nothing at all, learns only later from others that the upstream died. It is not safe for concurrent use; the zero
// value is not ready for use. S names one start of an upstream.
type Cases[S comparable] struct {
	// window is how long before or after the end of its upstream a case may lie.
	window time.Duration
	// most bounds the open cases; the oldest yield.
	most int
	// open holds the cases in the order in which they came.
	open  []openCase[S]
	ended map[S]time.Time
}

type openCase[S comparable] struct {
	Case
	start S
}

// NewCases returns an empty collection.
func NewCases[S comparable](window time.Duration, most int) *Cases[S] {
	return &Cases[S]{window: window, most: most, ended: make(map[S]time.Time)}
}

// Add takes a case, and reports whether its upstream is known to have ended.
func (c *Cases[S]) Add(s S, k Case) (proved bool) {
	c.expire(k.At)
	if _, ok := c.ended[s]; ok {
		return true
	}
	if len(c.open) >= c.most {
		c.open = slices.Delete(c.open, 0, 1)
	}
	c.open = append(c.open, openCase[S]{k, s})
	return false
}

// Ended takes the end of an upstream and returns the cases that it proves.
func (c *Cases[S]) Ended(s S, now time.Time) []Case {
	c.expire(now)
	c.ended[s] = now
	var out []Case
	c.open = slices.DeleteFunc(c.open, func(o openCase[S]) bool {
		if o.start == s {
			out = append(out, o.Case)
		}
		return o.start == s
	})
	return out
}

// expire drops what is too old to match anything.
func (c *Cases[S]) expire(now time.Time) {
	n := 0
	for n < len(c.open) && now.Sub(c.open[n].At) > c.window {
		n++
	}
	c.open = slices.Delete(c.open, 0, n)
	for s, at := range c.ended {
		if now.Sub(at) > c.window {
			delete(c.ended, s)
		}
	}
}
