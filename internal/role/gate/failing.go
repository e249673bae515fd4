package gate

import (
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// finishExchange ends an exchange with an upstream. If that changes whether the upstream counts as failing, it logs the
// change; peers are notified of failing upstreams.
func (g *Gateway) finishExchange(u roster.Upstream, o roster.Outcome) {
	c, changed := g.roster.Done(u.Instance, o, time.Now())
	if !changed {
		return
	}
	if !c.Failing {
		g.logEvent("upstream_sound", "upstream", u.Instance, "address", u.Address, "failures", c.Factor)
		return
	}
	g.logEvent("upstream_failing", "upstream", u.Instance, "address", u.Address, "failures", c.Factor)
	g.notifyKnown(notice{Failing: []upstreamStart{upstreamStart(u.Start())}})
}
