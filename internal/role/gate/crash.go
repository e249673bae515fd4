package gate

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/poison"
	"galenaward.example/galenaward/internal/sched/roster"
)

const (
	// crashLimit is the number of upstreams that a request may crash before it is not run again. It is above the one of
	// sidecars, which run a suspect apart from others and so are sure after two.
	crashLimit = 3
	// suspicionLife is how long a request that crashed fewer upstreams is remembered.
	suspicionLife = time.Hour
	// trialAfter is when a request that crashed so many may run once more, in case it was not to blame; with each further
	// crash the time grows, so that it runs three more times within some days. convictionLife is how long it is remembered.
	trialAfter     = time.Hour
	convictionLife = 7 * 24 * time.Hour
	// crashProbeAfter is how long after a broken answer the upstream is looked at, crashProbeTimeout how long that takes.
	crashProbeAfter   = 50 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
)

// crashes remembers the requests that ran while their upstreams died. The zero value is not ready for use.
type crashes struct {
	mu    sync.Mutex
	table poison.Table
}

func newCrashes() *crashes {
	return &crashes{table: poison.NewTable(suspicionLife).WithLimit(crashLimit).WithTrials(trialAfter, convictionLife)}
}

// crashNotice tells a peer of an upstream that died while it ran a request.
type crashNotice struct {
	Fingerprint uint64 `json:"fingerprint"`
	Event       string `json:"event"`
}

// take notes a crash and returns how many are known of the request.
func (c *crashes) take(n crashNotice, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = c.table.WithCrash([]uint64{n.Fingerprint}, n.Event, now)
	return c.table.Crashes(n.Fingerprint, now)
}

// verdict returns how the request may run, and when it may run once more if it must not now.
func (c *crashes) verdict(fingerprint uint64, now time.Time) (v poison.Verdict, trialIn time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Verdict(fingerprint, now), c.table.TrialIn(fingerprint, now)
}

// served clears a request that ran to its end, and returns how many crashes were known of it.
func (c *crashes) served(fingerprint uint64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.table.Crashes(fingerprint, now)
	c.table = c.table.WithSuccess(fingerprint, now)
	return known
}

// fingerprint identifies a request over its attempts, which have ids of their own.
func (j *job) fingerprint() uint64 {
	if !j.hashed {
		j.hash, j.hashed = j.sum(), true
	}
	return j.hash
}

func (j *job) sum() uint64 {
	d := xxhash.New()
	for _, s := range []string{j.call.Method, j.call.Host, j.call.Target, j.workspace.Name, j.call.Turn.Previous} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.call.Body)
	return d.Sum64()
}

// quarantine refuses a request that has crashed too many upstreams.
func (g *Gate) quarantine(j *job) *fault.Fault {
	v, trialIn := g.crashes.verdict(j.fingerprint(), time.Now())
	if v != poison.Quarantined {
		return nil
	}
	g.metrics.Add("quarantined", 1)
	return g.refuse(fault.NoUpstream, "quarantine", "the request crashed %d upstreams of route %q, fingerprint %d", crashLimit,
		j.route.Name, j.fingerprint()).WithRetryAfter(trialIn)
}

// suspect looks whether the upstream that broke an answer off is dead, and tells the peers if so.
func (g *Gate) suspect(j *job, u roster.Upstream) {
	n := crashNotice{Fingerprint: j.fingerprint(), Event: u.Instance + "/" + strconv.FormatInt(u.Born, 10)}
	g.group.Go(func(ctx context.Context) error {
		select {
		case <-time.After(crashProbeAfter):
		case <-ctx.Done():
			return nil
		}
		d := net.Dialer{Timeout: crashProbeTimeout}
		c, err := d.DialContext(ctx, "tcp", u.Address)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			// An upstream that connects may be back already, one that does not answer may be cut off.
			g.note("crash_doubtful", "upstream", u.Instance, "address", u.Address, "request", j.call.ID,
				"fingerprint", n.Fingerprint, "connects", err == nil)
		}
		if err == nil {
			return c.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		known := g.crashes.take(n, time.Now())
		g.note("upstream_crashed", "upstream", u.Instance, "address", u.Address, "request", j.call.ID,
			"fingerprint", n.Fingerprint, "crashes", known, "told", len(g.owner.Peers()))
		// The request must not try its luck through peers.
		if err := tell(ctx, g, crashPath, n); err != nil {
			g.note("crash_not_told", "fingerprint", n.Fingerprint, "cause", err)
		}
		return nil
	})
}

// tell sends a notice to all peers that hold partitions and returns the first error.
func tell[N any](ctx context.Context, g *Gate, path string, notice N) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var eg errgroup.Group
	for _, address := range g.owner.Peers() {
		eg.Go(func() error {
			_, err := ask[struct{}](ctx, g.peers, address, path, notice)
			return err
		})
	}
	return eg.Wait()
}
