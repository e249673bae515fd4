// Package poison finds requests that crash the upstreams that run them. A crash makes every request that ran
// on the upstream a suspect; a suspect runs again, but never beside another suspect, so that a second crash
// convicts one request and its neighbours go free.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// CrashLimit is the number of crashes after which a request is not run again.
const CrashLimit = 2

// trialGrowth is how many times longer each further crash keeps a request from its next trial.
const trialGrowth = 12

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
	// life is how long after its last crash a request below the limit is remembered.
	life time.Duration
	// limit is the number of crashes after which a request is not run again; at least 1.
	limit int
	// trial is how long after its last crash a quarantined request may run once more, which grows with each further
	// crash; keep is how long it is remembered. Neither is below zero.
	trial, keep time.Duration
	// most bounds the records; 0 is no bound. Those whose last crash is oldest yield, and quarantined ones after all others.
	most int
}

// NewTable returns a table that forgets a request after the life time.
func NewTable(life time.Duration) Table {
	return Table{life: life, limit: CrashLimit, trial: life, keep: life}
}

// WithLimit returns a table with another number of crashes after which a request is not run again.
func (t Table) WithLimit(crashes int) Table {
	t.limit = crashes
	return t
}

// WithTrials returns a table that lets a quarantined request run once more after the trial time, and after longer times
// for each further crash. It is forgotten after the keep time.
func (t Table) WithTrials(trial, keep time.Duration) Table {
	t.trial, t.keep = trial, keep
	return t
}

// WithMost returns a table that holds so many records at the most.
func (t Table) WithMost(records int) Table {
	t.most = records
	return t
}

// known returns the record of a request that is not forgotten.
func (t Table) known(fingerprint uint64, now time.Time) (record, bool) {
	r, ok := t.records[fingerprint]
	if !ok || t.forgotten(r, now) {
		return record{}, false
	}
	return r, true
}

func (t Table) forgotten(r record, now time.Time) bool {
	if len(r.events) >= t.limit {
		return now.Sub(r.last) > t.keep
	}
	return now.Sub(r.last) > t.life
}

// Verdict returns how the request may run.
func (t Table) Verdict(fingerprint uint64, now time.Time) Verdict {
	r, ok := t.known(fingerprint, now)
	switch {
	case !ok:
		return Clear
	case len(r.events) >= t.limit && now.Sub(r.last) <= t.pause(len(r.events)):
		return Quarantined
	}
	return Suspect
}

// TrialIn returns when a quarantined request may run once more; zero for others.
func (t Table) TrialIn(fingerprint uint64, now time.Time) time.Duration {
	r, ok := t.known(fingerprint, now)
	if !ok || len(r.events) < t.limit {
		return 0
	}
	return max(0, t.pause(len(r.events))-now.Sub(r.last))
}

// pause is how long a request does not run after so many crashes.
func (t Table) pause(crashes int) time.Duration {
	p := t.trial
	for n := t.limit; n < crashes && p < t.keep; n++ {
		p *= trialGrowth
	}
	return p
}

// Events returns the ids of the deaths during which the request ran, none if it is forgotten.
func (t Table) Events(fingerprint uint64, now time.Time) []string {
	r, _ := t.known(fingerprint, now)
	return r.events
}

// Crash is the death of an upstream while it ran a request.
type Crash struct {
	Fingerprint uint64
	// Event is the id of the death, the same for all requests that ran.
	Event string
	At    time.Time
}

// With returns a table after the crashes. Equal events count once.
func (t Table) With(crashes []Crash, now time.Time) Table {
	n := t.fresh(now)
	for _, c := range crashes {
		r := n.records[c.Fingerprint]
		i, seen := slices.BinarySearch(r.events, c.Event)
		if seen {
			continue
		}
		r.events = slices.Insert(slices.Clone(r.events), i, c.Event)
		if c.At.After(r.last) {
			r.last = c.At
		}
		n.records[c.Fingerprint] = r
	}
	n.evict()
	return n
}

// evict drops records beyond the bound, some more than needed so that not each crash has to. Only a table that is not
// shared yet may be changed so.
func (t Table) evict() {
	if t.most == 0 || len(t.records) <= t.most {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(t.records), func(a, b uint64) int {
		ra, rb := t.records[a], t.records[b]
		if c := cmp.Compare(min(len(ra.events), t.limit)/t.limit, min(len(rb.events), t.limit)/t.limit); c != 0 {
			return c
		}
		return ra.last.Compare(rb.last)
	})
	for _, f := range fingerprints[:len(t.records)-t.most*9/10] {
		delete(t.records, f)
	}
}

// WithCrash returns a table after the requests ran during the death of an upstream.
func (t Table) WithCrash(running []uint64, event string, now time.Time) Table {
	crashes := make([]Crash, 0, len(running))
	for _, f := range running {
		crashes = append(crashes, Crash{f, event, now})
	}
	return t.With(crashes, now)
}

// Without returns a table without the crashes.
func (t Table) Without(crashes []Crash, now time.Time) Table {
	n := t.fresh(now)
	for _, c := range crashes {
		r, ok := n.records[c.Fingerprint]
		if !ok {
			continue
		}
		r.events = slices.DeleteFunc(slices.Clone(r.events), func(e string) bool { return e == c.Event })
		n.records[c.Fingerprint] = r
		if len(r.events) == 0 {
			delete(n.records, c.Fingerprint)
		}
	}
	return n
}

// Empty returns a table with the same settings and no records.
func (t Table) Empty() Table {
	t.records = nil
	return t
}

// WithSuccess returns a table after a request ran to its end. That of a quarantined one counts only as a trial.
func (t Table) WithSuccess(fingerprint uint64, now time.Time) Table {
	if t.Verdict(fingerprint, now) != Suspect {
		return t
	}
	t.records = maps.Clone(t.records)
	delete(t.records, fingerprint)
	return t
}

// Each calls f for each request that is not forgotten.
func (t Table) Each(now time.Time, f func(fingerprint uint64, events []string)) {
	for k, r := range t.records {
		if !t.forgotten(r, now) {
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

// fresh returns a copy without forgotten records.
func (t Table) fresh(now time.Time) Table {
	records := make(map[uint64]record, len(t.records)+1)
	for k, r := range t.records {
		if !t.forgotten(r, now) {
			records[k] = r
		}
	}
	t.records = records
	return t
}
