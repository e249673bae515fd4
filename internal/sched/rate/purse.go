package rate

import "time"

const (
	// aheadRate is the calls per second at one gateway from which on it borrows ahead. Below, tokens that lie in a purse
	// would be missing elsewhere for longer than they save time.
	aheadRate = 8
	// aheadTime is the demand that one loan covers.
	aheadTime = 300 * time.Millisecond
	// earlyTime is the demand that must be left, or else more is borrowed beside the calls.
	earlyTime = 120 * time.Millisecond
	// reportEvery is the least time between two reports of what was spent. Until a token is reported it can be put back,
	// and most refusals come within some ten milliseconds.
	reportEvery = 150 * time.Millisecond
)

// Purse is what one gateway holds of one workspace's rate, and what it needs. It is immutable.
type Purse struct {
	wallet Wallet
	demand Demand
	// waiting is the number of calls that wait for a token, underWay the number of tokens that the keeper is being asked
	// for. Neither is ever negative.
	waiting, underWay int
	// returned is the number of tokens to give back to the keeper.
	returned float64
	reported time.Time
}

// WithArrival returns the purse after one more call arrived.
func (p Purse) WithArrival(now time.Time) Purse {
	p.demand = p.demand.WithArrival(now)
	return p
}

// WithWaiting returns the purse after n more calls wait, or fewer if n is negative.
func (p Purse) WithWaiting(n int) Purse {
	p.waiting = max(0, p.waiting+n)
	return p
}

// Take spends one token if there is one.
func (p Purse) Take(now time.Time) (Purse, bool) {
	w, ok := p.wallet.Take(1, now)
	p.wallet = w
	return p, ok
}

// Low reports whether more should be borrowed before the next call needs it.
func (p Purse) Low(now time.Time) bool {
	perSecond := p.demand.PerSecond(now)
	return perSecond >= aheadRate && p.wallet.Level(now) < perSecond*earlyTime.Seconds()
}

// Next returns when the next token that was promised may be spent.
func (p Purse) Next(now time.Time) (time.Time, bool) { return p.wallet.next(now) }

// Return puts back the token of a call that did not run.
func (p Purse) Return(now time.Time) Purse {
	before := p.wallet.Level(now)
	p.wallet = p.wallet.Return(1, now)
	if p.wallet.Level(now) < before+1-epsilon {
		p.returned++
	}
	return p
}

// Owes reports whether tokens are to be given back to the keeper.
func (p Purse) Owes() bool { return p.returned > 0 }

// Empty reports whether there is nothing to ask or to tell.
func (a Ask) Empty() bool {
	return a.Waiting == 0 && a.Ahead == 0 && a.Returned == 0 && len(a.Spent) == 0
}

// Ask returns what to ask of the keeper, and the purse after that was sent.
func (p Purse) Ask(owner int64, now time.Time) (Purse, Ask) {
	level, perSecond := p.wallet.Level(now), p.demand.PerSecond(now)
	a := Ask{Waiting: max(0, p.waiting-p.underWay-int(level)-p.wallet.promised(now)), Returned: p.returned}
	p.underWay += a.Waiting
	p.returned = 0
	if perSecond >= aheadRate {
		a.Ahead = max(0, float64(int(perSecond*aheadTime.Seconds()-level)))
	}
	if now.Sub(p.reported) >= reportEvery {
		p.reported = now
		p.wallet, a.Spent = p.wallet.Report(owner)
	}
	return p, a
}

// Failed returns the purse after no answer to the question came.
func (p Purse) Failed(a Ask) Purse {
	p.underWay = max(0, p.underWay-a.Waiting)
	return p
}

// Credit returns the purse with what the keeper granted when it was asked at the time given.
func (p Purse) Credit(a Ask, g Grant, owner int64, asked, now time.Time) Purse {
	p = p.Failed(a)
	for _, ms := range g.Waits {
		p.wallet = p.wallet.withToken(now.Add(time.Duration(ms * float64(time.Millisecond))))
	}
	p.wallet = p.wallet.WithLoan(g.Ahead, owner, asked)
	return p
}
