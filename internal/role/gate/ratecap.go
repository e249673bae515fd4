package gate

import (
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// observeRateCap records what an answer states about the rate of requests that the upstream accepts.
func (g *Gateway) observeRateCap(u roster.Upstream, info ResponseInfo) {
	if info.Misdirected || !(info.Signed || info.NotExecuted) {
		return // It may come from something else than the upstream.
	}
	if info.InvalidRateCap != "" {
		if ok, skipped := g.invalidCaps.allow(time.Now()); ok {
			g.logEvent("rate_cap_invalid", "upstream", u.Instance, "address", u.Address, "value", info.InvalidRateCap,
				"unlogged_before", skipped)
		}
		return
	}
	g.recordRateCap(roster.CapReport{Start: u.Start(), Cap: info.RateCap, SeenAt: time.Now()}, "answer")
}

// recordRateCap records a report and logs the change, if there is one.
func (g *Gateway) recordRateCap(r roster.CapReport, source string) (changed bool) {
	if !g.roster.RecordCap(r) {
		return false
	}
	event := "upstream_uncapped"
	if r.Cap.InForce {
		event = "upstream_capped"
	}
	g.logEvent(event, "upstream", r.Instance, "per_second", r.Cap.PerSecond, "source", source,
		"age_ms", time.Since(r.SeenAt).Milliseconds())
	return true
}

// countSent counts a request that is sent to an upstream with a rate cap in force.
func (g *Gateway) countSent(u roster.Upstream) {
	if r, ok := g.roster.Cap(u.Start()); ok && r.Cap.InForce {
		g.metrics.Add("sent_to_capped", 1)
	}
}

// cappedUpstreams returns the number of upstreams with a rate cap in force.
func (g *Gateway) cappedUpstreams() int64 { return int64(g.roster.CappedCount("")) }
