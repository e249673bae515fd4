package roster

import (
	"maps"
	"time"
)

// HoldUntil keeps upstreams whose announcements vanish until the given time.
func (t *Table) HoldUntil(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdUntil = until
}

// ExpireMissing removes upstreams whose announcements vanished during an outage of the store and did not return.
func (t *Table) ExpireMissing(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.holdUntil) {
		return
	}
	maps.DeleteFunc(t.leaving, func(_ Start, at time.Time) bool { return now.Sub(at) > leavingTTL })
	maps.DeleteFunc(t.upstreams, func(_ string, s *upstreamState) bool {
		if !s.missingSince.IsZero() {
			t.recordEnd(s)
		}
		return !s.missingSince.IsZero()
	})
}

// fewMissing reports whether so few announcements of the service vanished after an outage of the store that the upstreams
// are more likely gone than their announcements lapsed. The caller holds the lock.
func (t *Table) fewMissing(service string) bool {
	missing, listed := 0, 0
	for _, s := range t.upstreams {
		if s.Service != service {
			continue
		}
		listed++
		if !s.missingSince.IsZero() {
			missing++
		}
	}
	return float64(missing) <= maxMissingFraction*float64(listed)
}

// MarkLeaving records an upstream's notice that it is leaving, which applies until that start of it ends. The upstream may
// not be listed yet. It reports whether the notice is new.
func (t *Table) MarkLeaving(start Start, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.leaving[start]
	t.leaving[start] = now
	if s, ok := t.upstreams[start.Instance]; ok && s.Start() == start {
		s.Draining = true
	}
	return !known
}
