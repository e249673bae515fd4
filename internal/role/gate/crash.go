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
	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/sched/roster"
)

const (
	// maxCrashes is the number of upstreams that a request may crash before it is quarantined. It is higher than the
	// limit of sidecars: they run a suspect request in isolation, so two crashes are enough evidence for them.
	maxCrashes = 3
	// crashProbeDelay is the delay between an incomplete response and the connection probe of the upstream,
	// crashProbeTimeout bounds the probe.
	crashProbeDelay   = 50 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
	// notifyCrashes is the number of crashes of one request from which peers are notified directly. The feed of the
	// store is read with pauses, in which the request could be sent to them again.
	notifyCrashes = 2
)

// fingerprints identifies a request across attempts, which have IDs of their own. The first fingerprint covers the
// whole request; the second leaves out the previous turn, so that it matches the same input anywhere in a chain.
func (j *job) fingerprints() []uint64 {
	if j.fingerprintCache == nil {
		j.fingerprintCache = []uint64{j.fingerprint(j.call.Turn.Previous)}
		if j.call.Turn.Previous != "" {
			j.fingerprintCache = append(j.fingerprintCache, j.fingerprint(""))
		}
	}
	return j.fingerprintCache
}

func (j *job) fingerprint(previous string) uint64 {
	d := xxhash.New()
	for _, s := range []string{j.call.Method, j.call.Host, j.call.Target, j.workspace.Name, previous} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.call.Body)
	return d.Sum64()
}

// checkQuarantine refuses a request that has crashed too many upstreams.
func (g *Gateway) checkQuarantine(j *job) *fault.Fault {
	for _, f := range j.fingerprints() {
		v, trialIn := g.suspects.verdict(f, time.Now())
		if v != crash.Quarantined {
			continue
		}
		g.metrics.Add("quarantined", 1)
		return g.refuse(fault.NoUpstream, "quarantine", "the request crashed %d upstreams of route %q, fingerprint %016x", maxCrashes,
			j.route.Name, f).WithRetryAfter(trialIn)
	}
	return nil
}

// investigateCrash finds out whether an upstream that sent no complete response has crashed. The crash may already be
// known, become known later, or show in a refused connection. The upstream is not probed if ctx has ended, since then
// this side closed the exchange.
func (g *Gateway) investigateCrash(ctx context.Context, j *job, u roster.Upstream) {
	prints := j.fingerprints()
	if g.suspects.addUnanswered(u.Start(), crash.UnansweredRequest{
		Fingerprints: prints, Request: j.call.ID, At: time.Now(),
	}) {
		g.recordCrash(u, j.call.ID, prints)
		return
	}
	if ctx.Err() != nil {
		return
	}
	g.group.Go(func(ctx context.Context) error {
		select {
		case <-time.After(crashProbeDelay):
		case <-ctx.Done():
			return nil
		}
		d := net.Dialer{Timeout: crashProbeTimeout}
		c, err := d.DialContext(ctx, "tcp", u.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.recordCrash(u, j.call.ID, prints)
			return nil
		}
		// An upstream that accepts connections may have restarted already, and one that does not respond may be
		// unreachable. Only the expiry of its announcement confirms the crash.
		g.logEvent("crash_doubtful", "upstream", u.Instance, "address", u.Address, "request", j.call.ID,
			"fingerprint", hex(prints[0]), "connects", err == nil)
		if err == nil {
			return c.Close()
		}
		return nil
	})
}

// attributeCrashes takes ended upstreams and attributes each crash to the requests that the upstream left unanswered.
func (g *Gateway) attributeCrashes() {
	for _, u := range g.roster.TakeEnded() {
		for _, k := range g.suspects.upstreamEnded(u.Start(), time.Now()) {
			g.recordCrash(u, k.Request, k.Fingerprints)
		}
	}
}

// recordCrash records that an upstream crashed while it ran the request. Other gateways learn of it through the store.
func (g *Gateway) recordCrash(u roster.Upstream, request string, fingerprints []uint64) {
	for _, f := range fingerprints {
		c := crash.Event{Fingerprint: f, ID: crashEventID(u), At: time.Now()}
		known, fresh := g.suspects.addLocal(c)
		if !fresh {
			continue
		}
		g.logEvent("upstream_crashed", "upstream", u.Instance, "address", u.Address, "request", request,
			"fingerprint", hex(f), "crashes", known)
		if known >= notifyCrashes {
			g.notifyKnown(notice{Crashes: g.suspects.crashRecords(f, time.Now())})
		}
	}
}

// clearCrashes removes the crashes recorded for a request that was answered in full. Responses with a status of 500 or
// above don't count, since the upstream may not have run the request.
func (g *Gateway) clearCrashes(j *job, u roster.Upstream, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	for _, f := range j.fingerprints() {
		if n := g.suspects.recordAnswer(f, time.Now()); n > 0 {
			g.logEvent("suspect_answered", "request", j.call.ID, "fingerprint", hex(f), "status", status, "crashes", n,
				"upstream", u.Instance)
		}
	}
}

// notifyPeers sends a notice to all peers that own partitions and returns the first error.
func notifyPeers[N any](ctx context.Context, g *Gateway, path string, notice N) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var eg errgroup.Group
	for _, address := range g.owner.Peers() {
		eg.Go(func() error {
			_, err := callPeer[struct{}](ctx, g.peers, address, path, notice)
			return err
		})
	}
	return eg.Wait()
}
