package gate

import (
	"context"
	"strings"
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
	// planPatience bounds the wait of a program that begins.
	planPatience = 150 * time.Millisecond
	borrowPause  = 30 * time.Millisecond
	// reportEvery is the least time between two reports of what was spent. Until a token is reported it can be put back,
	// and most refusals come within some ten milliseconds.
	reportEvery = 150 * time.Millisecond
	// loanFloor is the least that is borrowed at a time.
	loanFloor = 2
	// planRoom is how much more than a workspace's rate the programs that begin may need together. Not every program
	// takes what it is expected to.
	planRoom = 1.3
	// firstExpected is the number of requests that a program is taken to need before any was seen, and counts as much
	// as firstPrograms programs.
	firstExpected, firstPrograms = 10, 10
	// rememberedPrograms is the number of programs after which what was learned counts half.
	rememberedPrograms = 200
	// scarcePause is how long after a lack of tokens no program begins. Gateways that lack tokens ask every 30 ms.
	scarcePause = 200 * time.Millisecond
	// scarceTime is how long after a lack of tokens nothing is learned about programs; most end within it.
	scarceTime = 5 * time.Second
	// plentyLevel is the part of its burst above which a workspace's programs begin whatever the plan says.
	plentyLevel = 0.15
	// beginRetry is when a program may come back that its workspace's rate does not hold now.
	beginRetry = 800 * time.Millisecond
	// reservePart is the part of a rate that all gateways together may use without a keeper. It is below the overage
	// that the promise of rates allows.
	reservePart = 0.08
	// answerLife is how long the keeper counts as reachable after an answer.
	answerLife = 400 * time.Millisecond
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
	// answered is when the keeper last answered, reported when it was last told what was spent.
	answered, reported time.Time
	// scarce is when the bucket last had less than a token for a gateway that asked; of use only while kept is held.
	scarce time.Time
	// spent counts the tokens that gateways reported as spent, older ones less; of use only while kept is held.
	spent float64
	// warned is when a missing loan was last logged.
	warned time.Time
}

func newRates(g *Gate) *rates { return &rates{gate: g, spaces: make(map[string]*space)} }

// begin takes what a program that begins is expected to need from the workspace's plan, so that programs are not cut
// short by others that begin.
func (r *rates) begin(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	plan := w
	plan.Name = planPrefix + w.Name
	if r.acquire(ctx, plan, planPatience) {
		return nil
	}
	return r.gate.refuse(fault.RateExceeded, "plan", "workspace %q has no room for one more program at %v requests per second",
		w.Name, w.RatePerSecond).WithRetryAfter(beginRetry)
}

// admit takes one request from the workspace's rate, or says when to come back.
func (r *rates) admit(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	if r.acquire(ctx, w, borrowPatience) {
		return nil
	}
	wait := time.Duration(float64(time.Second) * max(1, r.waitingOf(w.Name)) / w.RatePerSecond)
	return r.gate.refuse(fault.RateExceeded, "rate", "workspace %q is above %v requests per second", w.Name, w.RatePerSecond).
		WithRetryAfter(max(retrySoon, wait))
}

// planPrefix begins the names of the buckets for programs that begin.
const planPrefix = "plan/"

// acquire takes a token, waiting for loans at most for the patience after a first one.
func (r *rates) acquire(ctx context.Context, w layout.Workspace, patience time.Duration) bool {
	if ok, low := r.take(w, true); ok {
		if low {
			r.borrowAside(w)
		}
		return true
	}
	r.wait(w.Name, 1)
	defer r.wait(w.Name, -1)
	for until := time.Now().Add(patience); ctx.Err() == nil; {
		r.borrow(ctx, w)
		if ok, _ := r.take(w, false); ok {
			return true
		}
		if !r.answeredLately(w.Name) && r.takeReserve(w) {
			return true
		}
		if !time.Now().Before(until) {
			return false
		}
		select {
		case <-time.After(borrowPause):
		case <-ctx.Done():
		}
	}
	return false
}

// release puts back the token of a call that did not run.
func (r *rates) release(w layout.Workspace) {
	if w.RatePerSecond <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(w.Name)
	s.wallet = s.wallet.Return(1, time.Now())
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

// take spends a token of the wallet, and reports whether the wallet runs low.
func (r *rates) take(w layout.Workspace, arrival bool) (ok, low bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(w.Name)
	if arrival {
		s.demand = s.demand.WithArrival(now)
	}
	s.wallet, ok = s.wallet.Take(1, now)
	if strings.HasPrefix(w.Name, planPrefix) {
		return ok, false
	}
	return ok, s.wallet.Level(now) < s.demand.PerSecond(now)*borrowEarly.Seconds()
}

// answeredLately reports whether the keeper answered in the last moments, if only that it has nothing to lend.
func (r *rates) answeredLately(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.space(name).answered) < answerLife
}

// takeReserve spends a token of this gateway's part of the overage.
func (r *rates) takeReserve(w layout.Workspace) bool {
	now := time.Now()
	gates := float64(len(r.gate.owner.Peers()) + 1)
	q := rate.Quota{Rate: w.RatePerSecond * reservePart / gates, Burst: max(1, w.Burst*reservePart/gates)}
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
	q.Tokens = s.waiting
	if !strings.HasPrefix(w.Name, planPrefix) {
		q.Tokens = max(loanFloor, s.demand.PerSecond(asked)*borrowAhead.Seconds()+s.waiting-s.wallet.Level(asked))
	}
	if asked.Sub(s.reported) >= reportEvery {
		s.reported = asked
		s.wallet, q.Spent = s.wallet.Report(int64(part))
	}
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
	return r.gate.owner.PartitionOf("rate/" + strings.TrimPrefix(workspace, planPrefix))
}

// lend gives a part of a workspace's rate to a gateway.
func (g *Gate) lend(_ context.Context, q borrowRequest) (rate.Loan, error) {
	p, ok := g.owner.Held(g.rates.keeperPartition(q.Workspace))
	if !ok {
		return rate.Loan{}, g.refuse(fault.Moved, "borrow", "the rate of workspace %q is kept elsewhere", q.Workspace)
	}
	name, plan := strings.CutPrefix(q.Workspace, planPrefix)
	w, ok := g.layout.Load().Workspace(name)
	if !ok {
		return rate.Loan{}, g.refuse(fault.UnknownWorkspace, "borrow", "workspace %q is unknown", name)
	}
	return g.rates.lend(p, w, q, plan), nil
}

func (r *rates) lend(p *owner.Partition, w layout.Workspace, q borrowRequest, plan bool) rate.Loan {
	now := time.Now()
	quota := rate.Quota{Rate: w.RatePerSecond, Burst: max(1, w.Burst)}
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := r.space(w.Name)
	level := 0.0
	if p.Fresh() && r.gate.settings.FirstStart {
		level = quota.Burst // Otherwise a predecessor may have lent any of it.
	}
	r.keep(whole, p, quota, level, now)
	whole.bucket = whole.bucket.Refill(quota, now)
	s := whole
	if plan {
		s = r.space(q.Workspace)
		n := expected(whole.spent, s.spent)
		plenty := whole.bucket.Level() > plentyLevel*quota.Burst
		quota = rate.Quota{Rate: quota.Rate * planRoom / n, Burst: max(1, quota.Burst*planRoom/n)}
		// The plan promises nothing, so a successor may start with all of it.
		r.keep(s, p, quota, quota.Burst, now)
		s.bucket = s.bucket.Refill(quota, now)
		if plenty {
			s.bucket = s.bucket.Raised(q.Tokens)
		}
	}
	if plan && now.Sub(whole.scarce) < scarcePause {
		return rate.Loan{} // Programs under way already lack tokens, so the plan expected too little of them.
	}
	b, loan := s.bucket.Release(q.Spent).Lend(q.Tokens, now)
	s.bucket = b
	if !plan && loan.Tokens < min(1, q.Tokens) {
		whole.scarce = now
	}
	// Programs that are cut short for want of tokens would make others look small.
	if now.Sub(whole.scarce) > scarceTime {
		for _, sp := range q.Spent {
			s.spent += sp.Tokens
		}
	}
	if plan && s.spent > rememberedPrograms {
		s.spent /= 2
		whole.spent /= 2
	}
	return loan
}

// expected returns the number of requests that a program of a workspace needs.
func expected(requests, programs float64) float64 {
	return max(1, (requests+firstExpected*firstPrograms)/(programs+firstPrograms))
}

// keep begins a bucket with the level given when the partition came into this process's hands.
func (r *rates) keep(s *space, p *owner.Partition, q rate.Quota, level float64, now time.Time) {
	if s.kept == p {
		return
	}
	s.kept, s.bucket, s.spent = p, rate.NewBucket(min(level, q.Burst), now), 0
}
