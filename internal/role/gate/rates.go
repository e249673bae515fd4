package gate

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/layout"
)

const (
	// borrowAhead is the demand that one loan covers.
	borrowAhead = 400 * time.Millisecond
	// borrowEarly is the demand that must be left in the wallet, or else more is borrowed beside the calls.
	borrowEarly = 150 * time.Millisecond
	// borrowTimeout bounds one request for a loan.
	borrowTimeout = 250 * time.Millisecond
	// borrowPatience bounds the wait of a call for loans. It covers the time in which a partition changes hands.
	borrowPatience = 600 * time.Millisecond
	borrowPause    = 30 * time.Millisecond
	// loanFloor is the least that is borrowed at a time.
	loanFloor = 2
	// reservePart is the part of a rate that all gateways together may use without a keeper. It is below the overage
	// that the promise of rates allows.
	reservePart = 0.08
	// warnEvery is the least time between two log lines about missing loans of one workspace.
	warnEvery = time.Second
)

// rates keeps every workspace's rate over all gateways. One partition's holder is the keeper of a workspace's bucket
// and lends tokens to the gateways that callers reach.
type rates struct {
	gate   *Gate
	flight singleflight.Group

	mu     sync.Mutex
	spaces map[string]*space
}

// space is what a gateway keeps for one workspace.
type space struct {
	wallet rate.Wallet
	demand rate.Demand
	// waiting is the number of calls that wait for a loan.
	waiting float64
	// reserve is what may be spent while no keeper answers.
	reserve rate.Bucket
	// bucket is the whole rate, of use only while kept is held.
	bucket rate.Bucket
	kept   *owner.Partition
	// refused is when the keeper last had nothing to lend, and answered when it last answered.
	refused, answered time.Time
	// warned is when a missing loan was last logged.
	warned time.Time
}

func newRates(g *Gate) *rates { return &rates{gate: g, spaces: make(map[string]*space)} }

// admit takes one request from the workspace's rate, or says when to come back.
func (r *rates) admit(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	if ok, low := r.take(w, true); ok {
		if low {
			r.borrowAside(w)
		}
		return nil
	}
	r.wait(w.Name, 1)
	defer r.wait(w.Name, -1)
	for until := time.Now().Add(borrowPatience); ctx.Err() == nil && time.Now().Before(until); {
		r.borrow(ctx, w)
		if ok, _ := r.take(w, false); ok {
			return nil
		}
		if r.empty(w) {
			break
		}
		if r.takeReserve(w) {
			return nil
		}
		select {
		case <-time.After(borrowPause):
		case <-ctx.Done():
		}
	}
	wait := time.Duration(float64(time.Second) * max(1, r.waitingOf(w.Name)) / w.RatePerSecond)
	return r.gate.refuse(fault.RateExceeded, "rate", "workspace %q is above %v requests per second", w.Name, w.RatePerSecond).
		WithRetryAfter(max(retrySoon, wait))
}

func (r *rates) space(name string) *space {
	s, ok := r.spaces[name]
	if !ok {
		s = &space{}
		r.spaces[name] = s
	}
	return s
}

func (r *rates) wait(name string, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.space(name).waiting += n
}

func (r *rates) waitingOf(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.space(name).waiting
}

// take spends one token of the wallet, and reports whether the wallet runs low.
func (r *rates) take(w layout.Workspace, arrival bool) (ok, low bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(w.Name)
	if arrival {
		s.demand = s.demand.WithArrival(now)
	}
	s.wallet, ok = s.wallet.Take(1, now)
	return ok, s.wallet.Level(now) < s.demand.PerSecond(now)*borrowEarly.Seconds()
}

// empty reports whether the keeper has just said that the workspace's bucket is empty.
func (r *rates) empty(w layout.Workspace) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(w.Name)
	return !s.refused.IsZero() && s.refused.Equal(s.answered) && time.Since(s.refused) < borrowPause
}

// takeReserve spends one token of this gateway's part of the overage.
func (r *rates) takeReserve(w layout.Workspace) bool {
	now := time.Now()
	n := float64(len(r.gate.owner.Peers()) + 1)
	q := rate.Quota{Rate: w.RatePerSecond * reservePart / n, Burst: max(1, w.Burst*reservePart/n)}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(w.Name)
	b, ok := s.reserve.Refill(q, now).Take(1)
	s.reserve = b
	return ok
}

// borrowAside borrows without keeping a call waiting.
func (r *rates) borrowAside(w layout.Workspace) {
	r.gate.group.Go(func(ctx context.Context) error {
		r.borrow(ctx, w)
		return nil
	})
}

// borrow asks the keeper for a part of what the coming demand needs.
func (r *rates) borrow(ctx context.Context, w layout.Workspace) {
	_, _, _ = r.flight.Do(w.Name, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
		defer cancel()
		r.borrowOnce(ctx, w)
		return nil, nil
	})
}

func (r *rates) borrowOnce(ctx context.Context, w layout.Workspace) {
	part := r.keeperPartition(w.Name)
	address, self, known := r.gate.owner.AddressOf(part)
	if !known {
		r.gate.owner.Look(ctx)
		return
	}
	asked := time.Now()
	r.mu.Lock()
	s := r.space(w.Name)
	q := borrowRequest{Workspace: w.Name}
	q.Tokens = max(loanFloor, s.demand.PerSecond(asked)*borrowAhead.Seconds()+s.waiting-s.wallet.Level(asked))
	s.wallet, q.Spent = s.wallet.Report(int64(part))
	r.mu.Unlock()
	var loan rate.Loan
	var err error
	if self {
		loan, err = r.gate.lend(ctx, q)
	} else {
		loan, err = ask[rate.Loan](ctx, r.gate.peers, address, borrowPath, q)
	}
	if err != nil {
		r.noLoan(s, w.Name, address, err)
		r.gate.owner.Look(ctx)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answered = time.Now()
	s.refused = time.Time{}
	if loan.Tokens <= 0 {
		s.refused = s.answered
	}
	s.wallet = s.wallet.WithLoan(loan, int64(part), asked)
}

// noLoan counts a loan that could not be had, and logs the first of a series.
func (r *rates) noLoan(s *space, workspace, keeper string, err error) {
	r.gate.metrics.Add("rate_no_loan", 1)
	r.mu.Lock()
	quiet := time.Since(s.warned) < warnEvery
	if !quiet {
		s.warned = time.Now()
	}
	r.mu.Unlock()
	if !quiet {
		r.gate.note("no_loan", "workspace", workspace, "keeper", keeper, "cause", err)
	}
}

func (r *rates) keeperPartition(workspace string) int {
	return r.gate.owner.PartitionOf("rate/" + workspace)
}

// lend gives a part of a workspace's rate to a gateway.
func (g *Gate) lend(_ context.Context, q borrowRequest) (rate.Loan, error) {
	p, ok := g.owner.Held(g.rates.keeperPartition(q.Workspace))
	if !ok {
		return rate.Loan{}, g.refuse(fault.Moved, "borrow", "the rate of workspace %q is kept elsewhere", q.Workspace)
	}
	w, ok := g.layout.Load().Workspace(q.Workspace)
	if !ok {
		return rate.Loan{}, g.refuse(fault.UnknownWorkspace, "borrow", "workspace %q is unknown", q.Workspace)
	}
	return g.rates.lend(p, w, q), nil
}

func (r *rates) lend(p *owner.Partition, w layout.Workspace, q borrowRequest) rate.Loan {
	now := time.Now()
	quota := rate.Quota{Rate: w.RatePerSecond, Burst: max(1, w.Burst)}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(w.Name)
	if s.kept != p {
		// A successor cannot know what its predecessor lent, so it starts with nothing.
		level := 0.0
		if p.Fresh() && r.gate.settings.FirstStart {
			level = quota.Burst
		}
		s.kept, s.bucket = p, rate.NewBucket(level, now)
	}
	b, loan := s.bucket.Refill(quota, now).Release(q.Spent).Lend(q.Tokens, now)
	s.bucket = b
	return loan
}
