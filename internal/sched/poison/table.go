// Package poison finds requests that crash the upstreams that run them. A crash makes every request that ran
// on the upstream a suspect; a suspect runs again, but never beside another suspect, so that a second crash
// convicts one request and its neighbours go free.
package poison

import (
	"maps"
	"slices"
	"time"
)

// CrashLimit is the number of crashes after which a request is not run again.
const CrashLimit = 2

// Verdict says how a request may run.
type Verdict int

const (
	// Clear requests run beside any others.
	Clear Verdict = iota
	// Suspect requests run with no other suspect on the same upstream.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// record is what is known of one request.
type record struct {
	// events are the ids of the upstream deaths during which the request ran, sorted.
	events []string
	last   time.Time
}

// Table maps fingerprints of requests to their records. It is immutable; With methods return changed copies.
type Table struct {
	records map[uint64]record
	life    time.Duration
	// limit is the number of crashes after which a request is not run again; at least 1.
	limit int
}

// NewTable returns a table that forgets a request after the life time.
func NewTable(life time.Duration) Table { return Table{life: life, limit: CrashLimit} }

// WithLimit returns a table with another number of crashes after which a request is not run again.
func (t Table) WithLimit(crashes int) Table {
	t.limit = crashes
	return t
}

// Verdict returns how the request may run.
func (t Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	r, ok := t.records[fingerprint]
	switch {
	case !ok || now.Sub(r.last) > t.life:
		return Clear
	case len(r.events) >= t.limit:
		return Quarantined
	}
	return Suspect
}

// Crashes returns how many upstreams died while the request ran, zero if it is forgotten.
func (t Table) Crashes(fingerprint uint64, now time.Time) int {
	r, ok := t.records[fingerprint]
	if !ok || now.Sub(r.last) > t.life {
		return 0
	}
	return len(r.events)
}

// WithCrash returns a table after the requests ran during the death of an upstream. Equal events count once.
func (t Table) WithCrash(running []uint64, event string, now time.Time) Table {
	n := t.fresh(now)
	for _, f := range running {
		r := n.records[f]
		if i, seen := slices.BinarySearch(r.events, event); !seen {
			r.events = slices.Insert(slices.Clone(r.events), i, event)
			r.last = now
		}
		n.records[f] = r
	}
	return n
}

// WithSuccess returns a table after a suspect ran to its end.
func (t Table) WithSuccess(fingerprint uint64) Table {
	r, ok := t.records[fingerprint]
	if !ok || len(r.events) >= t.limit {
		return t
	}
	n := Table{records: maps.Clone(t.records), life: t.life, limit: t.limit}
	delete(n.records, fingerprint)
	return n
}

// Each calls f for each request that is not forgotten.
func (t Table) Each(now time.Time, f func(fingerprint uint64, events []string)) {
	for k, r := range t.records {
		if now.Sub(r.last) <= t.life {
			f(k, r.events)
		}
	}
}

// Knows reports whether every event of the request is in the table.
func (t Table) Knows(fingerprint uint64, events []string) bool {
	for _, e := range events {
		if !slices.Contains(t.records[fingerprint].events, e) {
			return false
		}
	}
	return true
}

// Len returns the number of records, forgotten ones included.
func (t Table) Len() int { return len(t.records) }

func (t Table) fresh(now time.Time) Table {
	n := Table{records: make(map[uint64]record, len(t.records)+1), life: t.life, limit: t.limit}
	for k, r := range t.records {
		if now.Sub(r.last) <= t.life {
			n.records[k] = r
		}
	}
	return n
}
