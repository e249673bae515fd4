package permit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxAsk bounds the permits of one upstream that a gateway asks for at once, so that few become void and others get
	// some.
	maxAsk = 3
	// failurePause is how long a gateway does not ask an allocator that did not answer. A successor needs longer than that
	// to start granting.
	failurePause = 250 * time.Millisecond
)

// Permit allows one request to one upstream. The zero value has expired.
type Permit struct {
	asked    time.Time
	validity time.Duration
}

// Valid reports whether the request may still be sent. A permit has expired as soon as either clock says so: the monotonic
// clock stands still while the machine is suspended, and the time of day may be set back.
func (p Permit) Valid(now time.Time) bool {
	until := p.asked.Add(p.validity)
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// batch holds the permits of one answer.
type batch struct {
	Permit
	left int
}

// Borrower holds the permits that one gateway has for one upstream, and decides when it asks for more. The zero value is
// ready for use. It is immutable.
type Borrower struct {
	// batches are in the order in which their permits were asked for.
	batches []batch
	// wanted is the number of requests that found no permit since the last message.
	wanted int
	// asking says that a message is under way.
	asking bool
	// notBefore is when the gateway may ask again.
	notBefore time.Time
}

// Held returns the number of valid permits.
func (b Borrower) Held(now time.Time) int {
	n := 0
	for _, x := range b.batches {
		if x.Valid(now) {
			n += x.left
		}
	}
	return n
}

// Take takes a valid permit, the one that expires first.
func (b Borrower) Take(now time.Time) (Borrower, Permit, bool) {
	for i, x := range b.batches {
		if !x.Valid(now) || x.left == 0 {
			continue
		}
		left := slices.Clone(b.batches)
		left[i].left--
		b.batches = left
		return b, x.Permit, true
	}
	return b, Permit{}, false
}

// WithWanted returns the borrower after a request found no permit.
func (b Borrower) WithWanted() Borrower {
	b.wanted = min(b.wanted+1, maxAsk)
	return b
}

// Ask returns the number of permits to ask for now; zero if none are wanted, a message is under way, or it is too early.
// The caller must call WithGrant or WithFailure afterwards if the number is not zero. What is wanted too early is dropped:
// later requests ask again.
func (b Borrower) Ask(now time.Time) (Borrower, int) {
	if b.asking {
		return b, 0
	}
	n := b.wanted
	b.wanted = 0
	if n == 0 || now.Before(b.notBefore) {
		return b, 0
	}
	b.asking = true
	return b, n
}

// WithGrant returns the borrower after the answer to a message that was sent at the given time.
func (b Borrower) WithGrant(asked time.Time, g Grant, now time.Time) Borrower {
	b.asking = false
	if g.Permits > 0 {
		b.batches = append(slices.Clip(b.batches), batch{Permit{asked, cmp.Or(g.Validity, Validity)}, g.Permits})
	}
	if g.Refused > 0 {
		b.notBefore = now.Add(g.RetryAfter)
	}
	return b
}

// WithFailure returns the borrower after a message that got no answer or could not be sent.
func (b Borrower) WithFailure(now time.Time) Borrower {
	b.asking = false
	b.notBefore = now.Add(failurePause)
	return b
}

// WithoutExpired returns the borrower without expired permits, and the number of those that were not used.
func (b Borrower) WithoutExpired(now time.Time) (Borrower, int) {
	void := 0
	var left []batch
	for _, x := range b.batches {
		switch {
		case !x.Valid(now):
			void += x.left
		case x.left > 0:
			left = append(left, x)
		}
	}
	b.batches = left
	return b, void
}

// Empty reports whether the borrower holds nothing that has to be kept.
func (b Borrower) Empty(now time.Time) bool {
	return len(b.batches) == 0 && b.wanted == 0 && !b.asking && !now.Before(b.notBefore)
}

// DueIn returns how long it takes at least until another permit may be granted, as far as the last answer tells.
func (b Borrower) DueIn(now time.Time) time.Duration { return max(0, b.notBefore.Sub(now)) }
