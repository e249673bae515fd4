package gate

import (
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// latencies tracks typical durations by kind: full answers by route, the time between stream events by service. The
// zero value is ready for use.
type latencies struct {
	mu sync.Mutex
	m  map[string]roster.TypicalTime
}

// record adds a duration and returns its ratio to the typical one.
func (p *latencies) record(kind string, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[string]roster.TypicalTime)
	}
	known := p.m[kind]
	p.m[kind] = known.WithTime(d)
	return known.Ratio(d)
}

// typical returns the typical duration of the kind, zero while none is known.
func (p *latencies) typical(kind string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[kind].Duration()
}

// ratio returns the ratio of the duration to the typical one without recording it, for requests that have not ended.
func (p *latencies) ratio(kind string, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[kind].Ratio(d)
}

// recordLatency records how long an upstream took for a request of the kind. If the request did not end, the duration
// is only a lower bound.
func (g *Gateway) recordLatency(u roster.Upstream, kind string, took time.Duration, ended bool) {
	var c roster.HealthChange
	var changed bool
	if ended {
		c, changed = g.roster.RecordTime(u.Instance, g.latencies.record(kind, took), time.Now())
	} else {
		c, changed = g.roster.RecordWait(u.Instance, g.latencies.ratio(kind, took), time.Now())
	}
	if !changed {
		return
	}
	event := "upstream_usual"
	if c.Slow {
		event = "upstream_slow"
	}
	g.logEvent(event, "upstream", u.Instance, "address", u.Address, "kind", kind, "took_ms", took.Milliseconds(), "factor", c.Factor)
}
