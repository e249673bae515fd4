package gate

import (
	"context"
	"net"
	"net/http"
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
	// crashProbeAfter is how long after a broken answer the upstream is looked at, crashProbeTimeout how long that takes.
	crashProbeAfter   = 50 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
)

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
	v, trialIn := g.suspects.verdict(j.fingerprint(), time.Now())
	if v != poison.Quarantined {
		return nil
	}
	g.metrics.Add("quarantined", 1)
	return g.refuse(fault.NoUpstream, "quarantine", "the request crashed %d upstreams of route %q, fingerprint %016x", crashLimit,
		j.route.Name, j.fingerprint()).WithRetryAfter(trialIn)
}

// suspect finds out whether the upstream that gave no whole answer died. It may have ended before, its end may become known
// later, or it refuses connections. Where this side ended the exchange, the upstream is not asked.
func (g *Gate) suspect(ctx context.Context, j *job, u roster.Upstream) {
	fingerprint := j.fingerprint()
	if g.suspects.unanswered(startOf(u), poison.Case{Fingerprint: fingerprint, Request: j.call.ID, At: time.Now()}) {
		g.crashed(u, j.call.ID, fingerprint)
		return
	}
	if ctx.Err() != nil {
		return
	}
	g.group.Go(func(ctx context.Context) error {
		select {
		case <-time.After(crashProbeAfter):
		case <-ctx.Done():
			return nil
		}
		d := net.Dialer{Timeout: crashProbeTimeout}
		c, err := d.DialContext(ctx, "tcp", u.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.crashed(u, j.call.ID, fingerprint)
			return nil
		}
		// An upstream that connects may be back already, one that does not answer may be cut off. The end of its announcement
		// would tell.
		g.note("crash_doubtful", "upstream", u.Instance, "address", u.Address, "request", j.call.ID,
			"fingerprint", hex(fingerprint), "connects", err == nil)
		if err == nil {
			return c.Close()
		}
		return nil
	})
}

// blameEnds takes the ends of upstreams as proof against the requests that they did not answer.
func (g *Gate) blameEnds() {
	for _, u := range g.roster.Ended() {
		for _, k := range g.suspects.ended(startOf(u), time.Now()) {
			g.crashed(u, k.Request, k.Fingerprint)
		}
	}
}

func startOf(u roster.Upstream) poison.Start { return poison.Start{Instance: u.Instance, Born: u.Born} }

// crashed notes that an upstream died while it ran the request. All gateways learn it from the store; peers are told as
// well, since the store may be away.
func (g *Gate) crashed(u roster.Upstream, request string, fingerprint uint64) {
	c := poison.Crash{Fingerprint: fingerprint, Event: deathOf(u), At: time.Now()}
	known, fresh := g.suspects.seen(c)
	if !fresh {
		return
	}
	g.note("upstream_crashed", "upstream", u.Instance, "address", u.Address, "request", request,
		"fingerprint", hex(fingerprint), "crashes", known, "told", len(g.owner.Peers()))
	g.group.Go(func(ctx context.Context) error {
		if err := tell(ctx, g, crashPath, noticeOf(c)); err != nil {
			g.note("crash_not_told", "fingerprint", hex(fingerprint), "cause", err)
		}
		return nil
	})
}

// cleared forgets the crashes of a request that was answered whole. An upstream that failed may not have run it.
func (g *Gate) cleared(j *job, u roster.Upstream, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if n := g.suspects.served(j.fingerprint(), time.Now()); n > 0 {
		g.note("suspect_answered", "request", j.call.ID, "fingerprint", hex(j.hash), "status", status, "crashes", n,
			"upstream", u.Instance)
	}
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
