package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/sched/route"
	"galenaward.example/galenaward/internal/state/conf"
)

const (
	// loanPeriod is the time for which one loan is meant to cover the demand.
	loanPeriod = 300 * time.Millisecond
	// borrowTimeout is the longest time that a request waits for loans.
	borrowTimeout = 200 * time.Millisecond
	// maxBorrowRounds is the maximum number of rounds of loan requests that one request waits for.
	maxBorrowRounds = 4
	// emptyBackoff is how long no loans are requested for a workspace after its owners had nothing to lend.
	emptyBackoff = 20 * time.Millisecond
)

// lender asks the holder of a slot for a loan.
type lender interface {
	Borrow(ctx context.Context, slot int64, workspace string, tokens float64, spent []rate.Spend) (rate.Loan, error)
}

// limiter enforces the rate limit of each workspace across all entries. The rate of a workspace is divided among the
// slots that own it. Entries borrow tokens from the holders of the other slots that own it.
type limiter struct {
	limiterOptions
	borrows singleflight.Group

	mu    sync.Mutex
	lease rate.Lease
	rates map[string]*workspaceRate
}

// workspaceRate is the state of the limiter for one workspace.
type workspaceRate struct {
	bucket rate.Bucket
	owned  bool
	loans  rate.LoanSet
	demand rate.Demand
	// waiting is the number of requests waiting for a loan.
	waiting float64
	// emptyAt is when the owners last had nothing to lend.
	emptyAt time.Time
}

// limiterOptions configure a limiter.
type limiterOptions struct {
	vm string
	// slot is the number of this entry's slot and slots the number of slots. Each workspace's rate is divided among
	// shares of them.
	slot, slots, shares int64
	store               *conf.Store
	lender              lender
	metrics             *telem.Metrics
	group               *group.Group
}

func newLimiter(o limiterOptions) *limiter {
	return &limiter{limiterOptions: o, rates: make(map[string]*workspaceRate)}
}

// Admit takes one token for a request from the workspace's rate, borrowing from other entries if necessary. If there
// is none, it returns a fault with the time after which to retry.
func (l *limiter) Admit(ctx context.Context, workspace string) *fault.Fault {
	if l.takeToken(workspace, true) {
		return nil
	}
	defer l.countWaiting(workspace)()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for round := 0; round < maxBorrowRounds && ctx.Err() == nil && l.canBorrow(workspace); round++ {
		_, _, _ = l.borrows.Do(workspace, func() (any, error) {
			l.borrow(ctx, workspace)
			return nil, nil
		})
		if l.takeToken(workspace, false) {
			return nil
		}
	}
	l.metrics.Add("refused_rate", 1)
	wait := l.retryAfter(workspace)
	return fault.New(fault.RateExceeded, "rate", l.vm, "workspace %q exceeds its rate", workspace).WithRetryAfter(wait)
}

// countWaiting counts a request as waiting for a loan until the returned function is called.
func (l *limiter) countWaiting(workspace string) func() {
	add := func(n float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rates[workspace].waiting += n
	}
	add(1)
	return func() { add(-1) }
}

func (l *limiter) quota(workspace string) rate.Quota {
	st := l.store.State()
	branch, _ := st.BranchOf(workspace)
	k := float64(min(l.shares, l.slots))
	return rate.Quota{Rate: st.Value(branch, conf.RatePerSecond) / k, Burst: st.Value(branch, conf.BurstRequests) / k}
}

func (l *limiter) retryAfter(workspace string) time.Duration {
	q := l.quota(workspace)
	if q.Rate <= 0 {
		return time.Minute
	}
	per := time.Duration(float64(time.Second) / (q.Rate * float64(min(l.shares, l.slots))))
	return max(10*time.Millisecond, per)
}

// takeToken takes one token from the bucket or, if that has none, from a loan.
func (l *limiter) takeToken(workspace string, arrival bool) bool {
	q := l.quota(workspace)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.rateOf(workspace, q, now)
	if arrival {
		s.demand = s.demand.WithArrival(now)
	}
	if l.mayUseBucket(s, now) {
		s.bucket = s.bucket.Refill(q, now)
		if b, ok := s.bucket.Take(1); ok {
			s.bucket = b
			return true
		}
	}
	loans, ok := s.loans.Take(1, now)
	s.loans = loans
	return ok
}

func (l *limiter) mayUseBucket(s *workspaceRate, now time.Time) bool {
	return s.owned && l.lease.Valid(now)
}

func (l *limiter) rateOf(workspace string, q rate.Quota, now time.Time) *workspaceRate {
	s, ok := l.rates[workspace]
	if ok {
		return s
	}
	s = &workspaceRate{}
	for _, o := range route.Owners(workspace, l.slots, l.shares) {
		s.owned = s.owned || o == l.slot
	}
	level := 0.0
	if l.lease.FirstHolder {
		level = q.Burst
	}
	s.bucket = rate.NewBucket(level, now)
	l.rates[workspace] = s
	return s
}

func (l *limiter) canBorrow(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.rates[workspace]
	return ok && time.Since(s.emptyAt) > emptyBackoff && l.slots > 1
}

// borrow requests an equal part of the tokens wanted from every other owner. It returns when all have answered or the
// timeout has passed.
func (l *limiter) borrow(ctx context.Context, workspace string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
	defer cancel()
	var others []int64
	for _, o := range route.Owners(workspace, l.slots, l.shares) {
		if o != l.slot {
			others = append(others, o)
		}
	}
	want := l.tokensWanted(workspace) / float64(max(1, len(others)))
	got := make(chan bool, len(others))
	for _, o := range others {
		l.requestLoan(ctx, o, workspace, want, got)
	}
	any := false
	for range others {
		select {
		case ok := <-got:
			any = any || ok
		case <-ctx.Done():
		}
	}
	if !any {
		l.recordEmpty(workspace)
	}
}

func (l *limiter) tokensWanted(workspace string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.rates[workspace]
	return s.demand.PerSecond(time.Now())*loanPeriod.Seconds() + s.waiting
}

func (l *limiter) recordEmpty(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates[workspace].emptyAt = time.Now()
}

// requestLoan requests a loan from the holder of the slot and adds it to the loans. It reports on got whether tokens
// were lent.
func (l *limiter) requestLoan(ctx context.Context, slot int64, workspace string, tokens float64, got chan<- bool) {
	l.group.Go(func(context.Context) error {
		asked := time.Now()
		loan, err := l.lender.Borrow(ctx, slot, workspace, tokens, l.takeSpent(workspace, slot))
		if err != nil {
			loan = rate.Loan{}
		}
		l.addLoan(workspace, loan, slot, asked)
		got <- loan.Tokens > 0
		return nil
	})
}

func (l *limiter) takeSpent(workspace string, slot int64) []rate.Spend {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.rates[workspace]
	loans, spent := s.loans.Report(slot)
	s.loans = loans
	return spent
}

func (l *limiter) addLoan(workspace string, loan rate.Loan, slot int64, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.rates[workspace]
	s.loans = s.loans.WithLoan(loan, slot, asked)
}

// Lend lends tokens of this entry's share of the workspace's rate to another entry, which reports what it spent of
// earlier loans.
func (l *limiter) Lend(workspace string, slot int64, tokens float64, spent []rate.Spend) rate.Loan {
	q := l.quota(workspace)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.rateOf(workspace, q, now)
	if slot != l.slot || !l.mayUseBucket(s, now) {
		return rate.Loan{}
	}
	s.bucket = s.bucket.Refill(q, now).Release(spent)
	b, loan := s.bucket.Lend(tokens, now)
	s.bucket = b
	return loan
}

// SetLease replaces the lease. With reset all buckets start empty, as they have to after another process held the slot
// and may have spent their tokens.
func (l *limiter) SetLease(lease rate.Lease, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	if !reset {
		return
	}
	l.lease.FirstHolder = false
	for _, s := range l.rates {
		s.bucket = rate.NewBucket(0, time.Now())
	}
}

// Lease returns the current lease.
func (l *limiter) Lease() rate.Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease
}
