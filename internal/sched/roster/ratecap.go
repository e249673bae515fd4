package roster

import (
	"math"
	"time"
)

// RateCap is the rate of requests that an upstream accepts from all processes together, as it states in its answers. The
// zero value means that it states none. It is immutable.
type RateCap struct {
	// PerSecond is the number of requests per second; finite and at least 0.
	PerSecond float64
	// InForce is false if the upstream accepts any rate.
	InForce bool
}

// CapReport is what one answer of an upstream states.
type CapReport struct {
	Start
	Cap RateCap
	// SeenAt is when the answer arrived at the process that received it.
	SeenAt time.Time
}

// capStep is the change of a cap, as a fraction of the previous value, that is reported.
const capStep = 0.1

// capState is the newest report about an upstream's cap. It is immutable.
type capState struct {
	cap    RateCap
	seenAt time.Time
	// reported is the cap as of the last change that was reported.
	reported RateCap
}

// with returns the state after a report, and whether the change is to be reported. Older reports change nothing.
func (c capState) with(r CapReport) (capState, bool) {
	if r.SeenAt.Before(c.seenAt) {
		return c, false
	}
	c.cap, c.seenAt = r.Cap, r.SeenAt
	if !c.cap.Differs(c.reported) {
		return c, false
	}
	c.reported = c.cap
	return c, true
}

// Differs reports whether the cap is so different that others should hear of the change.
func (c RateCap) Differs(other RateCap) bool {
	return c.InForce != other.InForce || math.Abs(c.PerSecond-other.PerSecond) > capStep*other.PerSecond
}

// sustained returns the number of requests that run at a time at the capped rate, if each takes the typical time. It returns
// false if there is no cap or no typical time.
func (c RateCap) sustained(typical time.Duration) (requests float64, ok bool) {
	return c.PerSecond * typical.Seconds(), c.InForce && typical > 0
}

// RecordCap records a report, and returns whether it changes what is known of the upstream. Of several reports the one that
// was seen last applies.
func (t *Table) RecordCap(r CapReport) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[r.Instance]
	if !ok || s.Start() != r.Start {
		return false
	}
	s.rateCap, changed = s.rateCap.with(r)
	t.mayBeCapped = t.mayBeCapped || s.rateCap.cap.InForce
	return changed
}

// LatestCap returns the newest report about the present start of an upstream. It returns false if there is none.
func (t *Table) LatestCap(instance string) (CapReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if !ok || s.rateCap.seenAt.IsZero() {
		return CapReport{}, false
	}
	return CapReport{Start: s.Start(), Cap: s.rateCap.cap, SeenAt: s.rateCap.seenAt}, true
}

// IsCapped reports whether an upstream has a rate cap in force.
func (t *Table) IsCapped(instance string) bool {
	r, ok := t.LatestCap(instance)
	return ok && r.Cap.InForce
}

// CappedCount returns the number of upstreams with a cap in force, of one service or, if it is empty, of all.
func (t *Table) CappedCount(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayBeCapped {
		return 0
	}
	t.mayBeCapped = false
	n := 0
	for _, s := range t.upstreams {
		if !s.rateCap.cap.InForce {
			continue
		}
		t.mayBeCapped = true
		if service == "" || s.Service == service {
			n++
		}
	}
	return n
}
