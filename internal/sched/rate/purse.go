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
func (p Borrower) WithArrival(now time.Time) Borrower {
	p.demand = p.demand.WithArrival(now)
	return p
}

// WithWaiting changes the number of waiting calls by n, which may be negative.
func (p Borrower) WithWaiting(n int) Borrower {
	p.waiting = max(0, p.waiting+n)
	return p
}

// Take spends one token if one is available.
func (p Borrower) Take(now time.Time) (Borrower, bool) {
	w, ok := p.loans.Take(1, now)
	p.loans = w
	return p, ok
}

// ShouldPrefetch reports whether the gateway should borrow before the next call needs a token.
func (p Borrower) ShouldPrefetch(now time.Time) bool {
	perSecond := p.demand.PerSecond(now)
	return perSecond >= prefetchMinRate && p.loans.Level(now) < perSecond*lowWaterDuration.Seconds()
}

// NextTokenAt returns when the next token that was granted with a delay may be spent.
func (p Borrower) NextTokenAt(now time.Time) (time.Time, bool) { return p.loans.nextPending(now) }

// Return puts back the token of a call that did not run.
func (p Borrower) Return(now time.Time) Borrower {
	before := p.loans.Level(now)
	p.loans = p.loans.Return(1, now)
	if p.loans.Level(now) < before+1-epsilon {
		p.returned++
	}
	return p
}

// HasReturns reports whether there are tokens to give back to the allocator.
func (p Borrower) HasReturns() bool { return p.returned > 0 }

// Empty reports whether the request asks for and reports nothing.
func (a TokenRequest) Empty() bool {
	return a.Waiting == 0 && a.Prefetch == 0 && a.Returned == 0 && len(a.Spent) == 0
}

// NextRequest returns the next request to the allocator, and the gateway's state after it was sent.
func (p Borrower) NextRequest(owner int64, now time.Time) (Borrower, TokenRequest) {
	level, perSecond := p.loans.Level(now), p.demand.PerSecond(now)
	a := TokenRequest{Waiting: max(0, p.waiting-p.requested-int(level)-p.loans.pendingTokens(now)), Returned: p.returned}
	p.requested += a.Waiting
	p.returned = 0
	if perSecond >= prefetchMinRate {
		a.Prefetch = max(0, float64(int(perSecond*prefetchDuration.Seconds()-level)))
	}
	if now.Sub(p.lastReport) >= minReportInterval {
		p.lastReport = now
		p.loans, a.Spent = p.loans.Report(owner)
	}
	return p, a
}

// WithFailedRequest returns the state after a request got no answer.
func (p Borrower) WithFailedRequest(a TokenRequest) Borrower {
	p.requested = max(0, p.requested-a.Waiting)
	return p
}

// WithGrant adds the grant for a request that was sent at the time asked.
func (p Borrower) WithGrant(a TokenRequest, g Grant, owner int64, asked, now time.Time) Borrower {
	p = p.WithFailedRequest(a)
	for _, ms := range g.Waits {
		p.loans = p.loans.withToken(now.Add(time.Duration(ms * float64(time.Millisecond))))
	}
	p.loans = p.loans.WithLoan(g.Prefetched, owner, asked)
	return p
}
