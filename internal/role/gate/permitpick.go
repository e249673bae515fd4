package gate

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/roster"
)

const (
	// permitWait is how long a request waits for a permit if no warm upstream is left. It covers a message to the
	// allocator that is late, and is short beside the time after which callers retry.
	permitWait = 300 * time.Millisecond
	// permitWaitFraction is the fraction of the remaining time that a request may wait.
	permitWaitFraction = 0.25
	// permitPollInterval is how often a waiting request looks for a permit if no message ends meanwhile.
	permitPollInterval = 50 * time.Millisecond
	// permitRaces bounds how often an upstream is picked again since another request took its last permit.
	permitRaces = 4
)

// Reasons why a request was not sent to any upstream, or not to the one that was picked.
var (
	errUpstreamClosed = errors.New("the upstream takes no more requests since it was picked")
	errNoPermit       = errors.New("only cold or capped upstreams are left, and there is no permit for them")
	errPermitExpired  = errors.New("the permit for the upstream expired before the request could be sent")
	errPermitNeeded   = errors.New("the upstream stated a rate cap since it was picked")
)

// pickUpstream picks an upstream that meets the criteria. If it is cold or has a rate cap, a permit is used. If such an upstream
// would be better but there is no permit, one is asked for in the background.
func (g *Gateway) pickUpstream(a *attempts, c roster.Criteria) (roster.Upstream, bool) {
	a.permit, a.wantsPermit, a.permitDue = nil, false, 0
	if !g.needsPermits(c.Service) {
		if u, ok := g.roster.Pick(c, time.Now()); ok || !g.needsPermits(c.Service) {
			return u, ok
		}
	}
	c.LimitCold = g.isColdLimited(c.Service)
	u, ok := g.pickPermitted(a, &c)
	now := time.Now()
	paused, due := g.permits.paused(c.Service, now)
	open := c
	open.Exclude = slices.Concat(c.Exclude, paused)
	if instance, found := g.roster.WantsPermit(open, now); found {
		a.wantsPermit = true
		g.permits.want(instance, c.Service)
	} else if _, found := g.roster.WantsPermit(c, now); found {
		a.wantsPermit, a.permitDue = true, due
	}
	return u, ok
}

// pickPermitted picks an upstream that needs no permit or for which there is one, which it takes.
func (g *Gateway) pickPermitted(a *attempts, c *roster.Criteria) (roster.Upstream, bool) {
	for range permitRaces {
		now := time.Now()
		c.Permitted = g.permits.held(now)
		u, ok := g.roster.Pick(*c, now)
		if !ok || !slices.Contains(c.Permitted, u.Instance) {
			return u, ok
		}
		if p, taken := g.permits.take(u.Instance, now); taken {
			g.metrics.Add("permits_used", 1)
			a.permit = &p
			return u, true
		}
		g.roster.Done(u.Instance, roster.Abandoned, now) // Another request took the permit.
	}
	c.Permitted = nil
	return g.roster.Pick(*c, time.Now())
}

// pickOrWait chooses an upstream for the next attempt. If only those are left that need a permit, it waits for one for a short
// time, unless the allocators have said that none is due by then.
func (g *Gateway) pickOrWait(ctx context.Context, a *attempts, cached string, bonus float64) (roster.Upstream, bool) {
	if !g.needsPermits(a.service) {
		return g.pick(a, cached, bonus)
	}
	g.awaitCapPermit(ctx, g.criteria(a, cached, bonus))
	began := time.Now()
	until := began.Add(min(permitWait, time.Duration(permitWaitFraction*float64(a.deadline.Sub(began)))))
	changed := g.permits.changes()
	u, ok := g.pick(a, cached, bonus)
	if ok || !a.wantsPermit {
		return u, ok
	}
	for now := began; !ok && a.wantsPermit && now.Add(a.permitDue).Before(until) && ctx.Err() == nil; now = time.Now() {
		select {
		case <-changed:
		case <-time.After(min(max(a.permitDue, permitPollInterval), until.Sub(now))):
		case <-ctx.Done():
		}
		changed = g.permits.changes()
		u, ok = g.pick(a, cached, bonus)
	}
	g.metrics.Observe("permit_wait", time.Since(began))
	if !ok && a.lastErr == nil {
		a.lastErr = errNoPermit
	}
	return u, ok
}

// checkSend returns an error if the upstream must not get the request any more: the permit has expired, or since the upstream
// was picked it stated a rate cap, began to drain, or its data centre was evacuated. Connecting to an upstream takes up to
// a second, and a process that is short of processor time may take longer.
func (g *Gateway) checkSend(a *attempts, u roster.Upstream) error {
	if a.permit != nil && !a.permit.Valid(time.Now()) {
		return errPermitExpired
	}
	if a.permit == nil && g.roster.IsCapped(u.Instance) {
		return errPermitNeeded
	}
	if !g.roster.Accepts(u.Start()) {
		return errUpstreamClosed
	}
	return nil
}

// unsentOutcome returns the outcome of an exchange in which nothing was sent. A permit that lacks or a later notice says
// nothing about the reachability of the upstream.
func unsentOutcome(err error) roster.Outcome {
	if errors.IsAny(err, errPermitExpired, errPermitNeeded, errUpstreamClosed) {
		return roster.Abandoned
	}
	return roster.Unreachable
}
