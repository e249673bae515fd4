package gate

import (
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// paces learns what requests usually take, by kind: whole answers by route, events of streams by service. The zero value is
// ready for use.
type paces struct {
	mu sync.Mutex
	m  map[string]roster.Pace
}

// took notes a time and returns it as a multiple of the usual one.
func (p *paces) took(kind string, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[string]roster.Pace)
	}
	known := p.m[kind]
	p.m[kind] = known.With(d)
	return known.Ratio(d)
}

// usual returns what is usual for the kind, zero while nothing is known.
func (p *paces) usual(kind string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[kind].Usual()
}

// ratio returns a time that is not over yet as a multiple of the usual one.
func (p *paces) ratio(kind string, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[kind].Ratio(d)
}

// timed notes how long an upstream took for a request of a kind, or waited for it if it did not end.
func (g *Gate) timed(u roster.Upstream, kind string, took time.Duration, ended bool) {
	var c roster.Change
	var changed bool
	if ended {
		c, changed = g.roster.Timed(u.Instance, g.paces.took(kind, took), time.Now())
	} else {
		c, changed = g.roster.Waited(u.Instance, g.paces.ratio(kind, took), time.Now())
	}
	if !changed {
		return
	}
	event := "upstream_usual"
	if c.Slow {
		event = "upstream_slow"
	}
	g.note(event, "upstream", u.Instance, "address", u.Address, "kind", kind, "took_ms", took.Milliseconds(), "factor", c.Factor)
}
