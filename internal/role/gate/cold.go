package gate

import (
	"slices"
	"time"
)

// isColdLimited reports whether cold upstreams of the service need permits.
func (g *Gateway) isColdLimited(service string) bool { return g.layout.Load().Cold(service) != nil }

// vouchedPartitions returns the partitions for which peers are asked to vouch while the store is away: those whose rates
// this process allocates. With a limit for cold upstreams or a rate cap these are all that it is assigned, since any of them
// may be asked for permits at any time, and the lease covers all.
func (g *Gateway) vouchedPartitions(now time.Time) []int {
	partitions := g.rates.allocated(now)
	if !g.layout.Load().HasCold() && g.roster.CappedCount("") == 0 {
		return partitions
	}
	for id := range int(g.settings.Partitions) {
		if g.owner.Assigned(id) && !slices.Contains(partitions, id) {
			partitions = append(partitions, id)
		}
	}
	return partitions
}

// reportCold logs the upstreams that turned cold or warm.
func (g *Gateway) reportCold() {
	if !g.layout.Load().HasCold() {
		return
	}
	for _, c := range g.roster.TakeColdChanges(g.isColdLimited, time.Now()) {
		event := "upstream_warm"
		if c.Cold {
			event = "upstream_cold"
		}
		g.logEvent(event, "upstream", c.Upstream.Instance, "address", c.Upstream.Address, "service", c.Upstream.Service,
			"source", c.Source, "announced_ms", c.Upstream.ColdFor.Milliseconds(), "age_ms", c.Age.Milliseconds(),
			"left_ms", c.Left.Milliseconds())
	}
}

// coldUpstreams returns the number of cold upstreams of services that have a limit for them.
func (g *Gateway) coldUpstreams() int64 {
	if !g.layout.Load().HasCold() {
		return 0
	}
	return int64(g.roster.ColdCount(g.isColdLimited, time.Now()))
}
