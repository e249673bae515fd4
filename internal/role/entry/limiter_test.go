package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/conf"
)

const (
	testRate      = 50.0
	testBurst     = 100.0
	testWorkspace = "kura"
	heldLease     = 30 * time.Second
	testLength    = 30 * time.Second
)

var errPartitioned = errors.New("cut")

// limiterFleet is a set of limiters that lend to each other in memory, with delays, network partitions and entries that
// have died.
type limiterFleet struct {
	delay time.Duration

	mu          sync.Mutex
	limiters    []*limiter
	up          []bool
	partitioned func(from, to int) bool
}

// reach returns the limiter of an entry and whether it is alive and reachable from the other entry.
func (r *limiterFleet) reach(from, to int) (*limiter, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiters[to], r.up[to] && !r.partitioned(from, to)
}

// at returns the limiter that handles a request sent to the entry: that of the next entry if the entry is dead.
func (r *limiterFleet) at(i int) *limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up[i] {
		i = (i + 1) % len(r.up)
	}
	return r.limiters[i]
}

// memoryLender connects one limiter to the others.
type memoryLender struct {
	fleet *limiterFleet
	from  int
}

func (w memoryLender) Borrow(
	ctx context.Context, slot int64, workspace string, tokens float64, spent []rate.Spend,
) (rate.Loan, error) {
	select {
	case <-time.After(w.fleet.delay):
	case <-ctx.Done():
		return rate.Loan{}, ctx.Err()
	}
	l, ok := w.fleet.reach(w.from, int(slot))
	if !ok {
		<-ctx.Done()
		return rate.Loan{}, errPartitioned
	}
	loan := l.Lend(workspace, slot, tokens, spent)
	select {
	case <-time.After(w.fleet.delay):
		return loan, nil
	case <-ctx.Done():
		return rate.Loan{}, ctx.Err()
	}
}

// noLender lends nothing, so that the rate is divided statically and equally.
type noLender struct{}

func (noLender) Borrow(context.Context, int64, string, float64, []rate.Spend) (rate.Loan, error) {
	return rate.Loan{}, errPartitioned
}

func newLimiterFleet(g *group.Group, entries, shares int, split bool) *limiterFleet {
	st := &conf.State{}
	root := map[string]float64{conf.RatePerSecond: testRate, conf.BurstRequests: testBurst}
	st, _ = st.Apply(1, conf.Record{ID: "a", Workspace: &conf.Workspace{Name: testWorkspace, Branch: "/" + testWorkspace}})
	st.Branches = map[string]conf.Branch{conf.RootBranch: {Version: 1, Values: root}}
	store := conf.NewStore()
	store.StoreIfNewer(st)
	r := &limiterFleet{partitioned: func(int, int) bool { return false }, delay: 4 * time.Millisecond}
	for i := range entries {
		o := limiterOptions{
			vm: fmt.Sprint("entry-", i), slot: int64(i), slots: int64(entries), shares: int64(shares), store: store,
			lender: memoryLender{r, i}, metrics: telem.NewMetrics(), group: g,
		}
		if split {
			o.lender = noLender{}
		}
		r.limiters = append(r.limiters, newLimiter(o))
		r.up = append(r.up, true)
		r.hold(i, true)
	}
	return r
}

func (r *limiterFleet) hold(i int, fresh bool) {
	r.limiters[i].SetLease(rate.Lease{}.WithRenewal(time.Now(), 24*time.Hour, fresh), !fresh)
}

// restart replaces an entry by a new process without state.
func (r *limiterFleet) restart(i int) {
	r.limiters[i] = newLimiter(r.limiters[i].limiterOptions)
	r.hold(i, false)
}

// centralBucket is a single token bucket with the whole rate: the naive implementation, with which the limiters are
// compared.
type centralBucket struct {
	level float64
	at    time.Time
}

func (b *centralBucket) take(now time.Time) bool {
	b.level = min(testBurst, b.level+testRate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// result counts the requests of one run and their outcomes.
type result struct {
	mu sync.Mutex
	// allowed is the number of these requests that the central bucket admits.
	arrived, allowed int
	admitted         []time.Time
	// slowest is the longest time that a request waited for its admission or refusal.
	slowest time.Duration
}

func (r *result) add(begun time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.slowest = max(r.slowest, now.Sub(begun))
	if ok {
		r.admitted = append(r.admitted, now)
	}
}

// wronglyRefused returns the number of requests refused in excess of those that the central bucket refuses.
func (r *result) wronglyRefused() int { return max(0, r.allowed-len(r.admitted)) }

// excess returns the maximum over all time windows by which the admissions exceed rate times length plus burst. That is
// how far the level of a bucket from which the admissions are taken falls below zero.
func (r *result) excess() float64 {
	level, worst := testBurst, 0.0
	for i, at := range r.admitted {
		if i > 0 {
			level = min(testBurst, level+testRate*at.Sub(r.admitted[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

// scenario sends requests to a fleet for its length in simulated time.
type scenario struct {
	name   string
	length time.Duration
	// perSecond returns the rate of requests at the time since the start.
	perSecond func(t time.Duration) float64
	// entry chooses the entry to which a request is sent.
	entry func(t time.Duration, rng *rand.Rand) int
	// fault injects faults into the fleet at the time since the start.
	fault func(r *limiterFleet, t time.Duration)
}

// run sends requests at their times, without waiting for earlier ones.
func (s scenario) run(g *group.Group, r *limiterFleet, seed uint64) *result {
	rng := rand.New(rand.NewPCG(seed, seed))
	begun := time.Now()
	allowed := &centralBucket{level: testBurst, at: begun}
	sum := &result{}
	for t := time.Duration(0); t <= s.length; t = time.Since(begun) {
		if s.fault != nil {
			r.mu.Lock()
			s.fault(r, t)
			r.mu.Unlock()
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / s.perSecond(t) * float64(time.Second)))
		l := r.at(s.entry(t, rng))
		sum.arrived++
		if allowed.take(time.Now()) {
			sum.allowed++
		}
		at := time.Now()
		g.Go(func(ctx context.Context) error {
			sum.add(at, l.Admit(ctx, testWorkspace) == nil)
			return nil
		})
	}
	_ = g.Wait()
	return sum
}

func skewed(_ time.Duration, rng *rand.Rand) int {
	if rng.Float64() < 0.9 {
		return 0
	}
	return 1 + rng.IntN(3)
}

func even(_ time.Duration, rng *rand.Rand) int { return rng.IntN(4) }

func constant(n float64) func(time.Duration) float64 { return func(time.Duration) float64 { return n } }

// bursty sends 4 times the rate during the first of every 10 seconds and 0.6 times the rate for the rest.
func bursty(t time.Duration) float64 {
	if t%(10*time.Second) < time.Second {
		return 4 * testRate
	}
	return 0.6 * testRate
}

var scenarios = []scenario{
	{"even, 0.9 of rate", testLength, constant(0.9 * testRate), even, nil},
	{"9 in 10 at one entry, 0.9 of rate", testLength, constant(0.9 * testRate), skewed, nil},
	{"moves to another entry every 5 s", testLength, constant(0.9 * testRate), func(t time.Duration, _ *rand.Rand) int {
		return int(t/(5*time.Second)) % 4
	}, nil},
	{"bursts", testLength, bursty, even, nil},
	{"5 times the rate", testLength, constant(5 * testRate), skewed, nil},
	{"an entry dies and comes back", testLength, constant(2 * testRate), even, func(r *limiterFleet, t time.Duration) {
		switch {
		case t > 8*time.Second && t < 12*time.Second && r.up[1]:
			r.up[1] = false
		case t >= 12*time.Second && !r.up[1]:
			r.up[1] = true
			r.restart(1)
		}
	}},
	{"halves cut off from each other", testLength, constant(2 * testRate), even, func(r *limiterFleet, t time.Duration) {
		apart := t > 8*time.Second && t < 20*time.Second
		r.partitioned = func(a, b int) bool { return apart && a/2 != b/2 }
	}},
}

func runScenario(t *testing.T, s scenario, shares int, split bool, seed uint64) *result {
	var out *result
	synctest.Test(t, func(*testing.T) {
		g := group.New(context.Background())
		out = s.run(g, newLimiterFleet(g, 4, shares, split), seed)
	})
	return out
}

// TestAdmissionsStayWithinRateAcrossEntries compares three ways to divide a rate among four entries: an equal split
// without loans, one owner per workspace, and a share for each entry with loans. With none of them may the admissions
// of any time window exceed rate times length plus burst.
func TestAdmissionsStayWithinRateAcrossEntries(t *testing.T) {
	ways := []struct {
		name   string
		shares int
		split  bool
	}{{"equal split", 4, true}, {"one owner", 1, false}, {"shares and loans", 4, false}}
	for _, s := range scenarios {
		for _, w := range ways {
			t.Run(s.name+"/"+w.name, func(t *testing.T) {
				is := is.New(t)
				got := runScenario(t, s, w.shares, w.split, 7)
				t.Logf("%-36s %-18s arrived %5d allowed %5d admitted %5d wrongly refused %4d (%5.2f%%) slowest %v excess %.3f",
					s.name, w.name, got.arrived, got.allowed, len(got.admitted), got.wronglyRefused(),
					100*float64(got.wronglyRefused())/float64(got.allowed), got.slowest, got.excess())
				is.True(got.excess() <= 0.001)
				is.True(len(got.admitted) > 0)
			})
		}
	}
}

// TestExpiredLoanAndLeaseAreUnusable checks that a process that was suspended neither spends a loan nor lends from its
// bucket once the loan or its lease has expired.
func TestExpiredLoanAndLeaseAreUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := group.New(context.Background())
		r := newLimiterFleet(g, 4, 1, false)
		l := r.limiters[0]
		for i := range 4 {
			if !r.limiters[i].ownsWorkspace(testWorkspace) {
				l = r.limiters[i]
			}
		}
		is.Equal(l.Admit(context.Background(), testWorkspace), nil) // Leaves part of a loan unspent.
		is.True(l.loanLevel(testWorkspace) >= 0)
		time.Sleep(rate.LoanTTL)
		is.Equal(l.loanLevel(testWorkspace), 0.0)
		l.SetLease(rate.Lease{}.WithRenewal(time.Now(), heldLease, false), false)
		time.Sleep(heldLease)
		is.Equal(l.Lend(testWorkspace, l.slot, 1, nil), rate.Loan{}) // The lease has expired.
		_ = g.Wait()
	})
}

// TestReclaimedSlotStartsWithEmptyBuckets claims a slot again that another process has held in the meantime. What that
// process spent is not known, so all buckets start empty, also those of workspaces without earlier requests.
func TestReclaimedSlotStartsWithEmptyBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := group.New(context.Background())
		l := newLimiterFleet(g, 1, 1, false).limiters[0]
		l.SetLease(l.Lease().WithRenewal(time.Now(), heldLease, false), true)
		is.True(l.Admit(context.Background(), testWorkspace) != nil)
		time.Sleep(time.Second)
		is.Equal(l.Admit(context.Background(), testWorkspace), nil)
		_ = g.Wait()
	})
}

func (l *limiter) ownsWorkspace(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rateOf(workspace, rate.Quota{Rate: 1, Burst: 1}, time.Now()).owned
}

func (l *limiter) loanLevel(workspace string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates[workspace].loans.Level(time.Now())
}
