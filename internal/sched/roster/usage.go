package roster

import "time"

// UsageQuery selects upstreams and how their load is estimated.
type UsageQuery struct {
	Service string
	// Allows reports whether upstreams in a data centre count; nil if all do.
	Allows func(dataCentre string) bool
	// SparseReports is used as in Criteria.
	SparseReports bool
}

// Usage returns the slots of those upstreams of a service that take new requests, and the number of requests at them. Where
// the capacity of upstreams is learned, it takes the place of the announced slots.
func (t *Table) Usage(q UsageQuery, now time.Time) (slots int, held float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	assumed := t.assumedLoad(Criteria{Service: q.Service, SparseReports: q.SparseReports}, now)
	sv := t.service(q.Service, now)
	for _, s := range t.upstreams {
		if s.Service != q.Service || s.Draining || !t.open(s.DataCentre, q.Allows) {
			continue
		}
		n, requests := s.usage(sv, assumed, now)
		slots, held = slots+n, held+requests
	}
	return slots, held
}
