package gate

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// failingNotice tells a peer that an upstream is failing.
type failingNotice struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"born"`
}

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
	g.group.Go(func(ctx context.Context) error {
		if err := notifyPeers(ctx, g, failingPath, failingNotice{u.Instance, u.Incarnation}); err != nil {
			g.logEvent("failing_not_told", "upstream", u.Instance, "cause", err)
		}
		return nil
	})
}
