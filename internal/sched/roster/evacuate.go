package roster

import (
	"cmp"
	"maps"
	"slices"
)

// Evacuations is the set of evacuated data centres as of an offset of the feed in which operators publish it. The zero
// value is the empty set before the first offset. It is immutable.
type Evacuations struct {
	// next is the offset after the newest record that the set includes. It never decreases from one set to its successor.
	next int64
	// dataCentres is not changed once it is assigned.
	dataCentres map[string]bool
}

// EvacuationRecord is an operator's record about one data centre.
type EvacuationRecord struct {
	DataCentre string
	// Evacuated is false if the record ends the evacuation.
	Evacuated bool
}

// WithSnapshot returns the set that a snapshot of the feed lists, with next as the offset at which the feed continues. A
// snapshot that is older than the current set changes nothing: it may come from a peer that has been cut off from the
// store for longer than this process.
func (e Evacuations) WithSnapshot(list []EvacuationRecord, next int64) Evacuations {
	if next < e.next {
		return e
	}
	return Evacuations{}.with(list, next)
}

// WithRecords returns the set after the records, of which the last one about a data centre applies. Records up to an offset
// that the set already includes change nothing.
func (e Evacuations) WithRecords(records []EvacuationRecord, next int64) Evacuations {
	if next <= e.next {
		return e
	}
	return e.with(records, next)
}

func (e Evacuations) with(records []EvacuationRecord, next int64) Evacuations {
	out := Evacuations{next: next, dataCentres: make(map[string]bool)}
	maps.Copy(out.dataCentres, e.dataCentres)
	for _, r := range records {
		if r.Evacuated {
			out.dataCentres[r.DataCentre] = true
		} else {
			delete(out.dataCentres, r.DataCentre)
		}
	}
	return out
}

// Contains reports whether the data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool { return e.dataCentres[dataCentre] }

// Without returns the data centres of the set that are not in the other one, sorted.
func (e Evacuations) Without(other Evacuations) []string {
	var out []string
	for dc := range e.dataCentres {
		if !other.Contains(dc) {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of evacuated data centres.
func (e Evacuations) Len() int { return len(e.dataCentres) }

// Next returns the offset after the newest record that the set includes.
func (e Evacuations) Next() int64 { return e.next }

// EvacuationChange is the start or the end of the evacuation of a data centre.
type EvacuationChange struct {
	DataCentre string
	Evacuated  bool
	// Upstreams is the number of known upstreams in the data centre.
	Upstreams int
}

// Evacuations returns the set in force.
func (t *Table) Evacuations() Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuations
}

// SetEvacuations puts a set into force and returns the changes from the previous one, sorted by data centre. Upstreams in an
// evacuated data centre get no new requests; exchanges in progress continue.
func (t *Table) SetEvacuations(e Evacuations) []EvacuationChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EvacuationChange
	for _, dc := range e.Without(t.evacuations) {
		out = append(out, EvacuationChange{DataCentre: dc, Evacuated: true, Upstreams: t.countIn(dc)})
	}
	for _, dc := range t.evacuations.Without(e) {
		out = append(out, EvacuationChange{DataCentre: dc, Upstreams: t.countIn(dc)})
	}
	slices.SortFunc(out, func(a, b EvacuationChange) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	t.evacuations = e
	return out
}

// EvacuatedUpstreams returns the number of known upstreams in evacuated data centres.
func (t *Table) EvacuatedUpstreams() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for dc := range t.evacuations.dataCentres {
		n += t.countIn(dc)
	}
	return n
}

// Accepts reports whether the start of an upstream is still listed and takes new requests.
func (t *Table) Accepts(start Start) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[start.Instance]
	return ok && s.Start() == start && !s.Draining && !t.evacuations.Contains(s.DataCentre)
}

// open reports whether the upstreams of a data centre get new requests that allows permits; nil permits all. The caller
// holds the lock.
func (t *Table) open(dataCentre string, allows func(dataCentre string) bool) bool {
	return !t.evacuations.Contains(dataCentre) && (allows == nil || allows(dataCentre))
}

// countIn returns the number of known upstreams in the data centre. The caller holds the lock.
func (t *Table) countIn(dataCentre string) int {
	n := 0
	for _, s := range t.upstreams {
		if s.DataCentre == dataCentre {
			n++
		}
	}
	return n
}
