package gate

import (
	"context"
	"slices"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// capReport is a report about the rate cap of an upstream in messages. Its age spares the gateways synchronized clocks.
type capReport struct {
	upstreamStart
	PerSecond float64 `json:"per_second,omitempty"`
	InForce   bool    `json:"in_force,omitempty"`
	AgeMS     int64   `json:"age_ms"`
}

func newCapReport(r roster.CapReport, now time.Time) *capReport {
	return &capReport{
		upstreamStart: upstreamStart(r.Start), PerSecond: r.Cap.PerSecond, InForce: r.Cap.InForce,
		AgeMS: max(0, now.Sub(r.SeenAt).Milliseconds()),
	}
}

func (c *capReport) report(now time.Time) roster.CapReport {
	return roster.CapReport{
		Start: c.start(), Cap: c.rateCap(), SeenAt: now.Add(-time.Duration(c.AgeMS) * time.Millisecond),
	}
}

// rateCap returns the cap; none if c is nil.
func (c *capReport) rateCap() roster.RateCap {
	if c == nil {
		return roster.RateCap{}
	}
	return roster.RateCap{PerSecond: max(0, c.PerSecond), InForce: c.InForce}
}

// newerThan reports whether c states something else than an older report, which may be nil.
func (c *capReport) newerThan(other *capReport) bool {
	return c != nil && other != nil && c.AgeMS < other.AgeMS && c.rateCap() != other.rateCap()
}

// knownCap returns what this gateway knows of the upstream's rate cap, nil for nothing.
func (g *Gateway) knownCap(instance string, now time.Time) *capReport {
	r, ok := g.roster.LatestCap(instance)
	if !ok {
		return nil
	}
	return newCapReport(r, now)
}

// mergeCap records what the gateway that asks for permits knows of the upstream's rate cap, and returns the newest report.
// Upstreams that are not listed here yet are as the gateway says.
func (g *Gateway) mergeCap(a permitAsk, now time.Time) *capReport {
	if a.Cap == nil {
		return g.knownCap(a.Instance, now)
	}
	a.Cap.Instance = a.Instance
	g.recordRateCap(a.Cap.report(now), "gateway")
	if r, ok := g.roster.LatestCap(a.Instance); ok && r.Start == a.Cap.start() {
		return newCapReport(r, now)
	}
	return a.Cap
}

// needsPermits reports whether some upstreams of the service need permits.
func (g *Gateway) needsPermits(service string) bool {
	return g.isColdLimited(service) || g.roster.CappedCount(service) > 0
}

// capPermitWait is how long a request waits for the allocator's answer if an upstream with a rate cap would be the best one. It
// covers a round trip between data centres. Without the wait, permits would expire at gateways that send few requests.
const capPermitWait = 50 * time.Millisecond

// awaitCapPermit asks for a permit and waits for the answer if the request would be sent to an upstream with a rate cap. It
// returns at once while the allocator grants none.
func (g *Gateway) awaitCapPermit(ctx context.Context, c roster.Criteria) {
	now := time.Now()
	paused, _ := g.permits.paused(c.Service, now)
	c.LimitCold, c.Permitted, c.Exclude = g.isColdLimited(c.Service), g.permits.held(now), slices.Concat(c.Exclude, paused)
	instance, ok := g.roster.WantsPermit(c, now)
	if !ok || !g.roster.IsCapped(instance) {
		return
	}
	changed := g.permits.changes()
	g.permits.want(instance, c.Service)
	timeout := time.NewTimer(capPermitWait)
	defer timeout.Stop()
	for !g.permits.decided(instance, time.Now()) {
		select {
		case <-changed:
			changed = g.permits.changes()
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// observeRateCap records the rate of requests that an upstream accepts, as the head of an answer states it. A head without a cap
// lifts the cap only once the answer is complete: a faulty upstream may send any bytes before it breaks off.
func (g *Gateway) observeRateCap(a *attempts, u roster.Upstream, info ResponseInfo) {
	a.uncappedAt = time.Time{}
	if info.Misdirected || !(info.Signed || info.NotExecuted) {
		return // It may come from something else than the upstream.
	}
	now := time.Now()
	switch {
	case info.InvalidRateCap != "":
		if ok, skipped := g.invalidCaps.allow(now); ok {
			g.logEvent("rate_cap_invalid", "upstream", u.Instance, "address", u.Address, "value", info.InvalidRateCap,
				"unlogged_before", skipped)
		}
	case info.RateCap.InForce:
		g.learnRateCap(roster.CapReport{Start: u.Start(), Cap: info.RateCap, SeenAt: now}, u.Service)
	default:
		a.uncappedAt = now
	}
}

// liftRateCap records that a complete answer stated no cap.
func (g *Gateway) liftRateCap(a *attempts, u roster.Upstream) {
	if !a.uncappedAt.IsZero() {
		g.learnRateCap(roster.CapReport{Start: u.Start(), SeenAt: a.uncappedAt}, u.Service)
	}
}

// learnRateCap records what an answer stated, and tells the allocator of a change.
func (g *Gateway) learnRateCap(r roster.CapReport, service string) {
	if g.recordRateCap(r, "answer") {
		g.permits.report(r.Instance, service)
	}
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
	if g.roster.IsCapped(u.Instance) {
		g.metrics.Add("sent_to_capped", 1)
	}
}

// cappedUpstreams returns the number of upstreams with a rate cap in force.
func (g *Gateway) cappedUpstreams() int64 { return int64(g.roster.CappedCount("")) }
