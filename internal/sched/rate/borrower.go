package rate

import "time"

const (
	// prefetchMinRate is the calls per second at one gateway from which it borrows ahead of demand. At lower rates,
	// tokens held by an idle gateway would be missing elsewhere for longer than they save waiting time.
	prefetchMinRate = 8
	// prefetchDuration is how much expected demand one loan covers.
	prefetchDuration = 300 * time.Millisecond
	// lowWaterDuration is how much expected demand must remain covered; with less, the gateway borrows before a call
	// needs it.
	lowWaterDuration = 120 * time.Millisecond
	// minReportInterval is the least time between two reports of spent tokens. A token can be returned only until it
	// is reported, and most refused requests are refused within some ten milliseconds.
	minReportInterval = 150 * time.Millisecond
)

// Borrower is one gateway's share of a workspace's rate: the loans that it holds and the tokens that it needs. It is
// immutable.
type Borrower struct {
	loans  LoanSet
	demand Demand
	// waiting is the number of calls that wait for a token, requested the number of tokens in requests that have not
	// been answered. Neither is ever negative.
	waiting, requested int
	// returned is the number of tokens to give back to the allocator.
	returned   float64
	lastReport time.Time
}

// WithArrival records the arrival of one more call.
func (b Borrower) WithArrival(now time.Time) Borrower {
	b.demand = b.demand.WithArrival(now)
	return b
}

// WithWaiting changes the number of waiting calls by n, which may be negative.
func (b Borrower) WithWaiting(n int) Borrower {
	b.waiting = max(0, b.waiting+n)
	return b
}

// Take spends one token if one is available.
func (b Borrower) Take(now time.Time) (Borrower, bool) {
	loans, ok := b.loans.Take(1, now)
	b.loans = loans
	return b, ok
}

// ShouldPrefetch reports whether the gateway should borrow before the next call needs a token.
func (b Borrower) ShouldPrefetch(now time.Time) bool {
	perSecond := b.demand.PerSecond(now)
	return perSecond >= prefetchMinRate && b.loans.Level(now) < perSecond*lowWaterDuration.Seconds()
}

// NextTokenAt returns when the next token that was granted with a delay may be spent.
func (b Borrower) NextTokenAt(now time.Time) (time.Time, bool) { return b.loans.nextPending(now) }

// Return puts back the token of a call that did not run.
func (b Borrower) Return(now time.Time) Borrower {
	before := b.loans.Level(now)
	b.loans = b.loans.Return(1, now)
	if b.loans.Level(now) < before+1-epsilon {
		b.returned++
	}
	return b
}

// HasReturns reports whether there are tokens to give back to the allocator.
func (b Borrower) HasReturns() bool { return b.returned > 0 }

// Empty reports whether the request asks for and reports nothing.
func (r TokenRequest) Empty() bool {
	return r.Waiting == 0 && r.Prefetch == 0 && r.Returned == 0 && len(r.Spent) == 0
}

// NextRequest returns the next request to the allocator, and the gateway's state after it was sent.
func (b Borrower) NextRequest(owner int64, now time.Time) (Borrower, TokenRequest) {
	level, perSecond := b.loans.Level(now), b.demand.PerSecond(now)
	r := TokenRequest{
		Waiting: max(0, b.waiting-b.requested-int(level)-b.loans.pendingTokens(now)), Returned: b.returned,
	}
	b.requested += r.Waiting
	b.returned = 0
	if perSecond >= prefetchMinRate {
		r.Prefetch = max(0, float64(int(perSecond*prefetchDuration.Seconds()-level)))
	}
	if now.Sub(b.lastReport) >= minReportInterval {
		b.lastReport = now
		b.loans, r.Spent = b.loans.Report(owner)
	}
	return b, r
}

// WithFailedRequest returns the state after a request got no answer.
func (b Borrower) WithFailedRequest(r TokenRequest) Borrower {
	b.requested = max(0, b.requested-r.Waiting)
	return b
}

// WithGrant adds the grant for a request that was sent at the time asked.
func (b Borrower) WithGrant(r TokenRequest, g Grant, owner int64, asked, now time.Time) Borrower {
	b = b.WithFailedRequest(r)
	for _, ms := range g.Waits {
		b.loans = b.loans.withToken(now.Add(time.Duration(ms * float64(time.Millisecond))))
	}
	b.loans = b.loans.WithLoan(g.Prefetched, owner, asked)
	return b
}
