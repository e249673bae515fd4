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

// ratio returns a time that is not over yet as a multiple of the usual one.
func (p *paces) ratio(kind string, d time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.m[kind].Ratio(d)
}
