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
	// borrowTimeout bounds one request to a keeper.
	borrowTimeout = 250 * time.Millisecond
	// keeperPatience bounds the time in which a call looks for a keeper that answers. It covers the time in which a
	// partition changes hands.
	keeperPatience = 600 * time.Millisecond
	borrowPause    = 30 * time.Millisecond
	// reservePart is the part of a rate that all gateways together may use without a keeper. It is below the overage
	// that the promise of rates allows.
	reservePart = 0.04
	// predecessorTime is how long the former keeper may go on after the store assigned its partition to another process: a
	// heartbeat of the membership.
	predecessorTime = 350 * time.Millisecond
	// answerLife is how long the keeper counts as reachable after an answer.
	answerLife = 400 * time.Millisecond
	// waitPart is the part of its time that a call may wait for its token.
	waitPart = 0.7
	// warnEvery is the least time between two log lines about a missing keeper of one workspace.
	warnEvery = time.Second
)

// rates keeps every workspace's rate over all gateways. One partition's holder is the keeper of a workspace's rate and
// decides over each call, or lends tokens to gateways that see many.
type rates struct {
	gate *Gate

	mu     sync.Mutex
	spaces map[string]*space
	kept   map[string]*kept
}

// space is what a gateway keeps for one workspace, or for its programs that begin.
type space struct {
	purse rate.Purse
	// reserve is what may be spent while no keeper answers.
	reserve rate.Bucket
	// answered is when the keeper last answered, warned when a missing answer was last logged.
	answered, warned time.Time
	// changed is closed and replaced when an answer comes or fails.
	changed chan struct{}
}

// kept is a rate whose keeper is this process.
type kept struct {
	keeper rate.Keeper
	// since is when the store assigned the workspace's partition to this process. When the partition came back from
	// another process, the keeper begins anew.
	since time.Time
}

func newRates(g *Gate) *rates {
	return &rates{gate: g, spaces: make(map[string]*space), kept: make(map[string]*kept)}
}

// begin takes what a program that begins is expected to need from the workspace's plan, so that programs are not cut
// short by others that begin.
func (r *rates) begin(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	ok, retryAfter := r.acquire(ctx, w, planPrefix+w.Name)
	if ok {
		return nil
	}
	return r.gate.refuse(fault.RateExceeded, "plan", "workspace %q has no room for one more program at %v requests per second",
		w.Name, w.RatePerSecond).WithRetryAfter(retryAfter)
}

// admit takes one request from the workspace's rate, or says when to come back.
func (r *rates) admit(ctx context.Context, w layout.Workspace) *fault.Fault {
	if w.RatePerSecond <= 0 {
		return nil
	}
	ok, retryAfter := r.acquire(ctx, w, w.Name)
	if ok {
		return nil
	}
	return r.gate.refuse(fault.RateExceeded, "rate", "workspace %q is above %v requests per second", w.Name, w.RatePerSecond).
		WithRetryAfter(retryAfter)
}

// planPrefix begins the names of the spaces for programs that begin.
const planPrefix = "plan/"

// acquire takes a token, which the keeper may promise for a moment later. A call that the keeper refuses is refused at
// once.
func (r *rates) acquire(ctx context.Context, w layout.Workspace, name string) (ok bool, retryAfter time.Duration) {
	if ok, low := r.arrive(name); ok {
		if low {
			r.borrowAside(name)
		}
		return true, 0
	}
	r.wait(name, 1)
	defer r.wait(name, -1)
	for until := time.Now().Add(keeperPatience); ctx.Err() == nil; {
		a := r.borrow(ctx, name)
		if r.takePromised(ctx, name) {
			return true, 0
		}
		if a.refused > 0 {
			return false, a.retryAfter
		}
		if !r.answeredLately(name) && r.takeReserve(w, name) {
			return true, 0
		}
		if !time.Now().Before(until) {
			break
		}
		if a.answered {
			continue // The answer was for calls that came before.
		}
		select {
		case <-time.After(borrowPause):
		case <-ctx.Done():
		}
	}
	return false, retrySoon
}

// release puts back the token of a call that did not run.
func (r *rates) release(w layout.Workspace) {
	if w.RatePerSecond <= 0 {
		return
	}
	r.mu.Lock()
	s := r.space(w.Name)
	s.purse = s.purse.Return(time.Now())
	owes := s.purse.Owes()
	r.mu.Unlock()
	if owes {
		r.borrowAside(w.Name)
	}
}

func (r *rates) space(name string) *space {
	s, ok := r.spaces[name]
	if !ok {
		s = &space{changed: make(chan struct{})}
		r.spaces[name] = s
	}
	return s
}

func (r *rates) wait(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(name)
	s.purse = s.purse.WithWaiting(n)
}

// arrive notes a call and spends a token if there is one. Low means that more should be borrowed.
func (r *rates) arrive(name string) (ok, low bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(name)
	if !strings.HasPrefix(name, planPrefix) {
		s.purse = s.purse.WithArrival(now)
	}
	s.purse, ok = s.purse.Take(now)
	return ok, s.purse.Low(now)
}

// takePromised takes a token, waiting for those that were promised.
func (r *rates) takePromised(ctx context.Context, name string) bool {
	for {
		now := time.Now()
		r.mu.Lock()
		s := r.space(name)
		var ok bool
		s.purse, ok = s.purse.Take(now)
		next, more := s.purse.Next(now)
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

// answeredLately reports whether the keeper answered in the last moments, if only that it has nothing to give.
func (r *rates) answeredLately(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.space(name).answered) < answerLife
}

// takeReserve spends a token of this gateway's part of the overage.
func (r *rates) takeReserve(w layout.Workspace, name string) bool {
	now := time.Now()
	gates := float64(len(r.gate.owner.Peers()) + 1)
	q := rate.Quota{Rate: w.RatePerSecond * reservePart / gates, Burst: max(1, w.Burst*reservePart/gates)}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.space(name)
	b, ok := s.reserve.Refill(q, now).Take(1)
	s.reserve = b
	return ok
}

// borrowAside asks the keeper without keeping a call waiting.
func (r *rates) borrowAside(name string) {
	r.gate.group.Go(func(ctx context.Context) error {
		r.borrow(ctx, name)
		return nil
	})
}

// borrowed says how a request to a keeper ended.
type borrowed struct {
	// answered says that the keeper answered, refused how many calls it refused.
	answered   bool
	refused    int
	retryAfter time.Duration
}

// borrow asks the keeper for the tokens that calls wait for. If it is being asked for all of them, it waits for an
// answer instead.
func (r *rates) borrow(ctx context.Context, name string) borrowed {
	longest := waitOf(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
	defer cancel()
	part := r.keeperPartition(name)
	address, self, known := r.gate.owner.AddressOf(part)
	if !known {
		r.gate.owner.Look(ctx)
		return borrowed{}
	}
	asked := time.Now()
	workspace, begins := strings.CutPrefix(name, planPrefix)
	q := borrowRequest{Workspace: workspace}
	r.mu.Lock()
	s := r.space(name)
	s.purse, q.Ask = s.purse.Ask(int64(part), asked)
	changed := s.changed
	r.mu.Unlock()
	if q.Empty() {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return borrowed{answered: true}
	}
	q.Begins, q.LongestMS = begins, longest
	g, err := r.send(ctx, q, address, self)
	now := time.Now()
	r.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	if err == nil {
		s.answered = now
		s.purse = s.purse.Credit(q.Ask, g, int64(part), asked, now)
	} else {
		s.purse = s.purse.Failed(q.Ask)
	}
	r.mu.Unlock()
	if err != nil {
		r.noAnswer(s, name, address, err)
		r.gate.owner.Look(ctx)
		return borrowed{}
	}
	return borrowed{answered: true, refused: g.Refused, retryAfter: max(retrySoon, g.RetryAfter())}
}

// waitOf returns how many milliseconds a call may wait for its token; zero if it has no deadline.
func waitOf(ctx context.Context) float64 {
	until, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, waitPart*float64(time.Until(until))/float64(time.Millisecond))
}

// send asks the keeper.
func (r *rates) send(ctx context.Context, q borrowRequest, address string, self bool) (rate.Grant, error) {
	if self {
		return r.gate.lend(ctx, q)
	}
	return ask[rate.Grant](ctx, r.gate.peers, address, borrowPath, q)
}

// noAnswer counts a keeper that did not answer, and logs the first time of a series.
func (r *rates) noAnswer(s *space, workspace, keeper string, err error) {
	r.gate.metrics.Add("rate_no_keeper", 1)
	r.mu.Lock()
	quiet := time.Since(s.warned) < warnEvery
	if !quiet {
		s.warned = time.Now()
	}
	r.mu.Unlock()
	if !quiet {
		r.gate.note("no_keeper", "workspace", workspace, "keeper", keeper, "cause", err)
	}
}

func (r *rates) keeperPartition(name string) int {
	return r.gate.owner.PartitionOf("rate/" + strings.TrimPrefix(name, planPrefix))
}

// lend answers a gateway as the keeper of a workspace's rate.
func (g *Gate) lend(_ context.Context, q borrowRequest) (rate.Grant, error) {
	since, ok := g.owner.Assigned(g.rates.keeperPartition(q.Workspace))
	if !ok {
		return rate.Grant{}, g.refuse(fault.Moved, "borrow", "the rate of workspace %q is kept elsewhere", q.Workspace)
	}
	w, ok := g.layout.Load().Workspace(q.Workspace)
	if !ok {
		return rate.Grant{}, g.refuse(fault.UnknownWorkspace, "borrow", "workspace %q is unknown", q.Workspace)
	}
	p, held := g.owner.Held(g.rates.keeperPartition(q.Workspace))
	first := held && p.Fresh() && g.settings.FirstStart
	return g.rates.grant(since, first, w, q.Ask), nil
}

// grant answers as a keeper since the time given. The first one has no predecessor.
func (r *rates) grant(since time.Time, first bool, w layout.Workspace, a rate.Ask) rate.Grant {
	if w.RatePerSecond <= 0 {
		return rate.Grant{Waits: make([]float64, a.Waiting)} // The limit was taken away while the gateway asked.
	}
	now := time.Now()
	quota := rate.Quota{Rate: w.RatePerSecond, Burst: max(1, w.Burst)}
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kept[w.Name]
	if !ok || !k.since.Equal(since) {
		// A predecessor may have granted whatever there was when it last heard from the store.
		level := quota.Rate * max(0, now.Sub(since)-predecessorTime).Seconds()
		if first {
			level = quota.Burst
		}
		k = &kept{keeper: rate.NewKeeper(quota, level, now), since: since}
		r.kept[w.Name] = k
	}
	var g rate.Grant
	k.keeper, g = k.keeper.WithQuota(quota).Grant(a, now)
	return g
}
