package gate

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// failNotice tells a peer of an upstream that fails.
type failNotice struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born"`
}

// done ends an exchange, and tells logs and peers if the upstream is found to fail, or sound again.
func (g *Gate) done(u roster.Upstream, o roster.Outcome) {
	c, changed := g.roster.Done(u.Instance, o, time.Now())
	if !changed {
		return
	}
	if !c.Failing {
		g.note("upstream_sound", "upstream", u.Instance, "address", u.Address, "failures", c.Factor)
		return
	}
	g.note("upstream_failing", "upstream", u.Instance, "address", u.Address, "failures", c.Factor)
	g.group.Go(func(ctx context.Context) error {
		if err := tell(ctx, g, failPath, failNotice{u.Instance, u.Born}); err != nil {
			g.note("failing_not_told", "upstream", u.Instance, "cause", err)
		}
		return nil
	})
}
