// Package crash identifies requests that crash the upstreams that run them. A crash makes every request that ran on the
// upstream a suspect. A suspect may run again, but never alongside another suspect, so that a second crash identifies
// the request at fault and clears the others.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DefaultLimit is the default number of crashes after which a request is quarantined.
const DefaultLimit = 2

// trialBackoffFactor multiplies the delay before the next trial with each further crash.
const trialBackoffFactor = 12

// Verdict says whether and how a request may run.
type Verdict int

const (
	// Clear requests run alongside any others.
	Clear Verdict = iota
	// Suspect requests run on an upstream without another suspect.
	Suspect
	// Quarantined requests are not run.
	Quarantined
)

// record is the crash history of one request.
type record struct {
	// crashIDs are the sorted ids of the crashes during which the request ran.
	crashIDs  []string
	lastCrash time.Time
}

// Table maps fingerprints of requests to their crash records. It is immutable; With methods return modified copies.
type Table struct {
	records map[uint64]record
	// suspectTTL is how long after its last crash a request below crashLimit is remembered.
	suspectTTL time.Duration
	// crashLimit is the number of crashes after which a request is quarantined; at least 1.
	crashLimit int
	// trialDelay is how long after its last crash a quarantined request may run once more; it grows with each further
	// crash. quarantineTTL is how long a quarantined request is remembered. Neither is negative.
	trialDelay, quarantineTTL time.Duration
	// maxRecords limits the records; 0 means no limit. Those with the oldest last crash are evicted first, and
	// quarantined ones after all others.
	maxRecords int
}

// NewTable returns a table that forgets a request when ttl has passed since its last crash.
func NewTable(ttl time.Duration) Table {
	return Table{suspectTTL: ttl, crashLimit: DefaultLimit, trialDelay: ttl, quarantineTTL: ttl}
}

// WithLimit returns a table with another crash limit.
func (t Table) WithLimit(crashes int) Table {
	t.crashLimit = crashes
	return t
}

// WithTrials returns a table that lets a quarantined request run once more after delay, which grows with each further
// crash. The request is forgotten when ttl has passed since its last crash.
func (t Table) WithTrials(delay, ttl time.Duration) Table {
	t.trialDelay, t.quarantineTTL = delay, ttl
	return t
}

// WithMaxRecords returns a table that holds at most the given number of records.
func (t Table) WithMaxRecords(records int) Table {
	t.maxRecords = records
	return t
}

// lookup returns the record of a request unless it has expired.
func (t Table) lookup(fingerprint uint64, now time.Time) (record, bool) {
	r, ok := t.records[fingerprint]
	if !ok || t.expired(r, now) {
		return record{}, false
	}
	return r, true
}

func (t Table) expired(r record, now time.Time) bool {
	if len(r.crashIDs) >= t.crashLimit {
		return now.Sub(r.lastCrash) > t.quarantineTTL
	}
	return now.Sub(r.lastCrash) > t.suspectTTL
}

// Verdict returns how the request may run.
func (t Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	r, ok := t.lookup(fingerprint, now)
	switch {
	case !ok:
		return Clear
	case len(r.crashIDs) >= t.crashLimit && now.Sub(r.lastCrash) <= t.trialDelayAfter(len(r.crashIDs)):
		return Quarantined
	}
	return Suspect
}

// TrialIn returns the delay until a quarantined request may run once more; zero for other requests.
func (t Table) TrialIn(fingerprint uint64, now time.Time) time.Duration {
	r, ok := t.lookup(fingerprint, now)
	if !ok || len(r.crashIDs) < t.crashLimit {
		return 0
	}
	return max(0, t.trialDelayAfter(len(r.crashIDs))-now.Sub(r.lastCrash))
}

// trialDelayAfter returns how long a request is not run after the given number of crashes.
func (t Table) trialDelayAfter(crashes int) time.Duration {
	p := t.trialDelay
	for n := t.crashLimit; n < crashes && p < t.quarantineTTL; n++ {
		p *= trialBackoffFactor
	}
	return p
}

// CrashIDs returns the ids of the crashes during which the request ran, none if its record has expired.
func (t Table) CrashIDs(fingerprint uint64, now time.Time) []string {
	r, _ := t.lookup(fingerprint, now)
	return r.crashIDs
}

// Event is the crash of an upstream while it ran a request.
type Event struct {
	Fingerprint uint64
	// ID is the id of the crash, the same for all requests that ran.
	ID string
	At time.Time
}

// WithEvents returns a table with the crashes added. Events with the same ID count once for a request.
func (t Table) WithEvents(crashes []Event, now time.Time) Table {
	n := t.withoutExpired(now)
	for _, c := range crashes {
		r := n.records[c.Fingerprint]
		i, seen := slices.BinarySearch(r.crashIDs, c.ID)
		if seen {
			continue
		}
		r.crashIDs = slices.Insert(slices.Clone(r.crashIDs), i, c.ID)
		if c.At.After(r.lastCrash) {
			r.lastCrash = c.At
		}
		n.records[c.Fingerprint] = r
	}
	n.evict()
	return n
}

// evict removes records above the limit, and a tenth more, so that not every crash causes an eviction. It modifies
// the table in place and must only be called on one that is not shared yet.
func (t Table) evict() {
	if t.maxRecords == 0 || len(t.records) <= t.maxRecords {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(t.records), func(a, b uint64) int {
		ra, rb := t.records[a], t.records[b]
		if c := cmp.Compare(
			min(len(ra.crashIDs), t.crashLimit)/t.crashLimit,
			min(len(rb.crashIDs), t.crashLimit)/t.crashLimit,
		); c != 0 {
			return c
		}
		return ra.lastCrash.Compare(rb.lastCrash)
	})
	for _, f := range fingerprints[:len(t.records)-t.maxRecords*9/10] {
		delete(t.records, f)
	}
}

// WithCrash returns a table with the crash of an upstream that ran the given requests.
func (t Table) WithCrash(running []uint64, id string, now time.Time) Table {
	crashes := make([]Event, 0, len(running))
	for _, f := range running {
		crashes = append(crashes, Event{f, id, now})
	}
	return t.WithEvents(crashes, now)
}

// WithoutEvents returns a table with the crashes removed.
func (t Table) WithoutEvents(crashes []Event, now time.Time) Table {
	n := t.withoutExpired(now)
	for _, c := range crashes {
		r, ok := n.records[c.Fingerprint]
		if !ok {
			continue
		}
		r.crashIDs = slices.DeleteFunc(slices.Clone(r.crashIDs), func(e string) bool { return e == c.ID })
		n.records[c.Fingerprint] = r
		if len(r.crashIDs) == 0 {
			delete(n.records, c.Fingerprint)
		}
	}
	return n
}

// WithoutRecords returns a table with the same settings and no records.
func (t Table) WithoutRecords() Table {
	t.records = nil
	return t
}

// WithSuccess returns a table after a request completed. The success clears a suspect only: for a quarantined request
// it counts once the request runs as a trial.
func (t Table) WithSuccess(fingerprint uint64, now time.Time) Table {
	if t.Verdict(fingerprint, now) != Suspect {
		return t
	}
	t.records = maps.Clone(t.records)
	delete(t.records, fingerprint)
	return t
}

// Each calls f for each request whose record has not expired.
func (t Table) Each(now time.Time, f func(fingerprint uint64, crashIDs []string)) {
	for k, r := range t.records {
		if !t.expired(r, now) {
			f(k, r.crashIDs)
		}
	}
}

// HasCrashIDs reports whether every crash is recorded for the request.
func (t Table) HasCrashIDs(fingerprint uint64, crashIDs []string) bool {
	for _, e := range crashIDs {
		if !slices.Contains(t.records[fingerprint].crashIDs, e) {
			return false
		}
	}
	return true
}

// Len returns the number of records, including expired ones.
func (t Table) Len() int { return len(t.records) }

// withoutExpired returns a copy without expired records.
func (t Table) withoutExpired(now time.Time) Table {
	records := make(map[uint64]record, len(t.records)+1)
	for k, r := range t.records {
		if !t.expired(r, now) {
			records[k] = r
		}
	}
	t.records = records
	return t
}
