package gate

// registerAffinityGauges registers the counts of picks for requests that concern an object.
func (g *Gateway) registerAffinityGauges() {
	g.metrics.Gauge("affinity_first", func() int64 { return g.roster.AffinityCounts().First })
	g.metrics.Gauge("affinity_later", func() int64 { return g.roster.AffinityCounts().Later })
	g.metrics.Gauge("affinity_unbounded", func() int64 { return g.roster.AffinityCounts().Unbounded })
}
