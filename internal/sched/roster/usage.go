package roster

import (
	"math"
	"time"
)

// UsageQuery selects upstreams and how their load is estimated.
type UsageQuery struct {
	Service string
	// Allows reports whether upstreams in a data centre count; nil if all do.
	Allows func(dataCentre string) bool
	// SparseReports is used as in Criteria.
	SparseReports bool
	// Typical is the typical time of the service's requests, zero if unknown. With it, an upstream with a rate cap counts with
	// the requests that run there at a time at that rate.
	Typical time.Duration
}

// Usage returns the slots of those upstreams of a service that take new requests, and the number of requests at them. Where
// the capacity of upstreams is learned, it takes the place of the announced slots.
func (t *Table) Usage(q UsageQuery, now time.Time) (slots int, held float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	assumed := t.assumedLoad(Criteria{Service: q.Service, SparseReports: q.SparseReports}, now)
	sv := t.service(q.Service, now)
	capped := 0.0
	for _, s := range t.upstreams {
		if s.Service != q.Service || s.Draining || !t.open(s.DataCentre, q.Allows) {
			continue
		}
		n, requests := s.usage(sv, assumed, now)
		if sustained, ok := s.rateCap.cap.sustained(q.Typical); ok && sustained < float64(n) {
			capped += sustained
			if !sv.learns && !s.reported(now) {
				requests = float64(s.inFlight) + assumed*sustained
			}
			held += requests
			continue
		}
		slots, held = slots+n, held+requests
	}
	return slots + int(math.Round(capped)), held
}
