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

// fingerprints identify a request over its attempts, which have ids of their own: the first one the request as it is, a
// second one a turn's input wherever in a chain it comes again.
func (j *job) fingerprints() []uint64 {
	if j.prints == nil {
		j.prints = []uint64{j.sum(j.call.Turn.Previous)}
		if j.call.Turn.Previous != "" {
			j.prints = append(j.prints, j.sum(""))
		}
	}
	return j.prints
}

func (j *job) sum(previous string) uint64 {
	d := xxhash.New()
	for _, s := range []string{j.call.Method, j.call.Host, j.call.Target, j.workspace.Name, previous} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.call.Body)
	return d.Sum64()
}

// quarantine refuses a request that has crashed too many upstreams.
func (g *Gate) quarantine(j *job) *fault.Fault {
	for _, f := range j.fingerprints() {
		v, trialIn := g.suspects.verdict(f, time.Now())
		if v != poison.Quarantined {
			continue
		}
		g.metrics.Add("quarantined", 1)
		return g.refuse(fault.NoUpstream, "quarantine", "the request crashed %d upstreams of route %q, fingerprint %016x", crashLimit,
			j.route.Name, f).WithRetryAfter(trialIn)
	}
	return nil
}

// suspect finds out whether the upstream that gave no whole answer died. It may have ended before, its end may become known
// later, or it refuses connections. Where this side ended the exchange, the upstream is not asked.
func (g *Gate) suspect(ctx context.Context, j *job, u roster.Upstream) {
	prints := j.fingerprints()
	if g.suspects.unanswered(u.Start(), poison.Case{Fingerprints: prints, Request: j.call.ID, At: time.Now()}) {
		g.crashed(u, j.call.ID, prints)
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
			g.crashed(u, j.call.ID, prints)
			return nil
		}
		// An upstream that connects may be back already, one that does not answer may be cut off. The end of its announcement
		// would tell.
		g.note("crash_doubtful", "upstream", u.Instance, "address", u.Address, "request", j.call.ID,
			"fingerprint", hex(prints[0]), "connects", err == nil)
		if err == nil {
			return c.Close()
		}
		return nil
	})
}

// blameEnds takes the ends of upstreams as proof against the requests that they did not answer.
func (g *Gate) blameEnds() {
	for _, u := range g.roster.Ended() {
		for _, k := range g.suspects.ended(u.Start(), time.Now()) {
			g.crashed(u, k.Request, k.Fingerprints)
		}
	}
}

// crashed notes that an upstream died while it ran the request. All gateways learn it from the store.
func (g *Gate) crashed(u roster.Upstream, request string, fingerprints []uint64) {
	for _, f := range fingerprints {
		c := poison.Crash{Fingerprint: f, Event: deathOf(u), At: time.Now()}
		known, fresh := g.suspects.seen(c)
		if !fresh {
			continue
		}
		g.note("upstream_crashed", "upstream", u.Instance, "address", u.Address, "request", request,
			"fingerprint", hex(f), "crashes", known)
	}
}

// cleared forgets the crashes of a request that was answered whole. An upstream that failed may not have run it.
func (g *Gate) cleared(j *job, u roster.Upstream, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	for _, f := range j.fingerprints() {
		if n := g.suspects.served(f, time.Now()); n > 0 {
			g.note("suspect_answered", "request", j.call.ID, "fingerprint", hex(f), "status", status, "crashes", n,
				"upstream", u.Instance)
		}
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
