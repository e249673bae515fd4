package gate

import (
	"context"
	"strings"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/layout"
)

const (
	// borrowTimeout bounds one request to an allocator.
	borrowTimeout = 250 * time.Millisecond
	// acquireTimeout bounds how long a call looks for a reachable allocator. It covers the time that a partition takes
	// to change owners.
	acquireTimeout      = 600 * time.Millisecond
	borrowRetryInterval = 30 * time.Millisecond
	// reserveFraction is the fraction of a rate that all gateways together may use without an allocator. It is below
	// the overage that the rate guarantee allows.
	reserveFraction = 0.04
	// predecessorOverlap is how long the former allocator may continue after the store has assigned its partition to
	// another process: one membership heartbeat.
	predecessorOverlap = 350 * time.Millisecond
	// allocatorReachableFor is how long the allocator counts as reachable after a response.
	allocatorReachableFor = 400 * time.Millisecond
	// maxWaitFraction is the fraction of its remaining time that a call may wait for its token.
	maxWaitFraction = 0.7
	// warnInterval is the minimum time between two log lines about an unreachable allocator of one workspace.
	warnInterval = time.Second
)

// rates enforces the rate limit of each workspace across all gateways. The owner of the workspace's rate partition is
// its allocator: it decides on each call, or lends tokens in advance to gateways with much traffic.
type rates struct {
	gateway *Gateway

	mu         sync.Mutex
	buckets    map[string]*workspaceBucket
	allocators map[string]*allocatorState
	// borrowers is when each gateway last asked this allocator for tokens, by peer address.
	borrowers map[string]time.Time
}

// workspaceBucket is the local state of one workspace's rate, or of its plan for starting programs.
type workspaceBucket struct {
	borrower rate.Borrower
	// reserve holds the tokens that may be spent while no allocator responds.
	reserve rate.Bucket
	// answered is when the allocator last responded, warned when a missing response was last logged.
	answered, warned time.Time
	// changed is closed and replaced when a request to the allocator ends.
	changed chan struct{}
}

func newRates(g *Gateway) *rates {
	return &rates{
		gateway: g, buckets: make(map[string]*workspaceBucket), allocators: make(map[string]*allocatorState),
		borrowers: make(map[string]time.Time),
	}
}

// admitProgram takes the tokens that a new program is expected to need from the workspace's plan, so that new programs
// don't starve running ones.
func (r *rates) admitProgram(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	ok, retryAfter := r.acquire(ctx, w, planPrefix+w.Name)
	if ok {
		return nil
	}
	return r.gateway.refuse(fault.RateExceeded, "plan",
		"workspace %q cannot start another program at %v requests per second",
		w.Name, w.RatePerSecond).WithRetryAfter(retryAfter)
}

// admit takes one request from the workspace's rate, or returns when to retry.
func (r *rates) admit(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	ok, retryAfter := r.acquire(ctx, w, w.Name)
	if ok {
		return nil
	}
	return r.gateway.refuse(fault.RateExceeded, "rate",
		"workspace %q is above %v requests per second", w.Name, w.RatePerSecond).
		WithRetryAfter(retryAfter)
}

// planPrefix marks the names of buckets for starting programs.
const planPrefix = "plan/"

// acquire takes a token, which the allocator may grant for a later moment. If the allocator refuses, acquire returns
// without further attempts.
func (r *rates) acquire(ctx context.Context, w layout.Workspace, name string) (ok bool, retryAfter time.Duration) {
	if ok, prefetch := r.takeNow(name); ok {
		if prefetch {
			r.borrowAsync(name)
		}
		return true, 0
	}
	r.addWaiting(name, 1)
	defer r.addWaiting(name, -1)
	for until := time.Now().Add(acquireTimeout); ctx.Err() == nil; {
		a := r.borrow(ctx, name)
		if r.takePromised(ctx, name) {
			return true, 0
		}
		if a.refused > 0 {
			return false, a.retryAfter
		}
		if !r.allocatorReachable(name) && r.takeReserve(w, name) {
			return true, 0
		}
		if !time.Now().Before(until) {
			break
		}
		if a.answered {
			continue // The response was for calls that arrived earlier.
		}
		select {
		case <-time.After(borrowRetryInterval):
		case <-ctx.Done():
		}
	}
	return false, shortRetry
}

// release returns the token of a call that did not run.
func (r *rates) release(w layout.Workspace) {
	if w.RatePerSecond <= 0 {
		return
	}
	r.mu.Lock()
	s := r.bucket(w.Name)
	s.borrower = s.borrower.Return(time.Now())
	hasReturns := s.borrower.HasReturns()
	r.mu.Unlock()
	if hasReturns {
		r.borrowAsync(w.Name)
	}
}

func (r *rates) bucket(name string) *workspaceBucket {
	s, ok := r.buckets[name]
	if !ok {
		s = &workspaceBucket{changed: make(chan struct{})}
		r.buckets[name] = s
	}
	return s
}

func (r *rates) addWaiting(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.bucket(name)
	s.borrower = s.borrower.WithWaiting(n)
}

// takeNow counts a call and spends a token if one is available. Prefetch means that more should be borrowed.
func (r *rates) takeNow(name string) (ok, prefetch bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.bucket(name)
	if !strings.HasPrefix(name, planPrefix) {
		s.borrower = s.borrower.WithArrival(now)
	}
	s.borrower, ok = s.borrower.Take(now)
	return ok, s.borrower.ShouldPrefetch(now)
}

// takePromised takes a token, waiting for those that were granted for a later moment.
func (r *rates) takePromised(ctx context.Context, name string) bool {
	for {
		now := time.Now()
		r.mu.Lock()
		s := r.bucket(name)
		var ok bool
		s.borrower, ok = s.borrower.Take(now)
		next, more := s.borrower.NextTokenAt(now)
		r.mu.Unlock()
		if ok || !more {
			return ok
		}
		select {
		case <-time.After(next.Sub(now)):
		case <-ctx.Done():
			return false
		}
	}
}

// allocatorReachable reports whether the allocator responded recently, even if it granted nothing.
func (r *rates) allocatorReachable(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.bucket(name).answered) < allocatorReachableFor
}

// takeReserve spends a token of this gateway's share of the reserve.
func (r *rates) takeReserve(w layout.Workspace, name string) bool {
	now := time.Now()
	gateways := float64(len(r.gateway.owner.Peers()) + 1)
	q := rate.Quota{Rate: w.RatePerSecond * reserveFraction / gateways, Burst: max(1, w.Burst*reserveFraction/gateways)}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.bucket(name)
	b, ok := s.reserve.Refill(q, now).Take(1)
	s.reserve = b
	return ok
}

// borrowAsync asks the allocator in the background.
func (r *rates) borrowAsync(name string) {
	r.gateway.group.Go(func(ctx context.Context) error {
		r.borrow(ctx, name)
		return nil
	})
}

// borrowResult is the outcome of a request to an allocator.
type borrowResult struct {
	// answered means that the allocator responded, refused is the number of calls that it refused.
	answered   bool
	refused    int
	retryAfter time.Duration
}

// borrow asks the allocator for tokens for the waiting calls. If a request for all of them is already in progress, it
// waits for that one.
func (r *rates) borrow(ctx context.Context, name string) borrowResult {
	longest := maxWaitMS(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
	defer cancel()
	partition := r.allocatorPartition(name)
	address, self, known := r.gateway.owner.AddressOf(partition)
	if !known {
		r.gateway.owner.RefreshOwners(ctx)
		return borrowResult{}
	}
	asked := time.Now()
	workspace, forPrograms := strings.CutPrefix(name, planPrefix)
	q := borrowRequest{Workspace: workspace, From: r.gateway.settings.PeerAddress()}
	r.mu.Lock()
	s := r.bucket(name)
	s.borrower, q.TokenRequest = s.borrower.NextRequest(int64(partition), asked)
	changed := s.changed
	r.mu.Unlock()
	if q.Empty() {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return borrowResult{answered: true}
	}
	q.ForPrograms, q.MaxWaitMS = forPrograms, longest
	g, err := r.send(ctx, q, address, self)
	now := time.Now()
	r.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	if err == nil {
		s.answered = now
		s.borrower = s.borrower.WithGrant(q.TokenRequest, g, int64(partition), asked, now)
	} else {
		s.borrower = s.borrower.WithFailedRequest(q.TokenRequest)
	}
	r.mu.Unlock()
	if err != nil {
		r.recordNoAllocator(s, name, address, err)
		r.gateway.owner.RefreshOwners(ctx)
		return borrowResult{}
	}
	return borrowResult{answered: true, refused: g.Refused, retryAfter: max(shortRetry, g.RetryAfter())}
}

// maxWaitMS returns how many milliseconds a call may wait for its token; zero if it has no deadline.
func maxWaitMS(ctx context.Context) float64 {
	until, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, maxWaitFraction*float64(time.Until(until))/float64(time.Millisecond))
}

// send sends a request to the allocator.
func (r *rates) send(ctx context.Context, q borrowRequest, address string, self bool) (rate.Grant, error) {
	if self {
		return r.gateway.grantTokens(ctx, q)
	}
	return callPeer[rate.Grant](ctx, r.gateway.peers, address, borrowPath, q)
}

// recordNoAllocator counts an unreachable allocator and logs it at most once per warnInterval.
func (r *rates) recordNoAllocator(s *workspaceBucket, workspace, allocator string, err error) {
	r.gateway.metrics.Add("rate_no_keeper", 1)
	r.mu.Lock()
	suppressed := time.Since(s.warned) < warnInterval
	if !suppressed {
		s.warned = time.Now()
	}
	r.mu.Unlock()
	if !suppressed {
		r.gateway.logEvent("no_keeper", "workspace", workspace, "keeper", allocator, "cause", err)
	}
}

func (r *rates) allocatorPartition(name string) int {
	return r.gateway.owner.PartitionOf("rate/" + strings.TrimPrefix(name, planPrefix))
}
