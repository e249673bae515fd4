package roster

import "time"

const (
	// slowWeight is the weight of the newest time in an upstream's slowness.
	slowWeight = 0.2
	// slowHalfLife is the time in which slowness loses half of what it is above the usual, so that the upstream is tried
	// again with a little.
	slowHalfLife = 4 * time.Second
	// slowBand is how much slower than usual an upstream may seem before that counts, since requests differ.
	slowBand = 0.6
	// mostSlow bounds one time, so that a single one does not shut an upstream out.
	mostSlow = 8
	// toldSlow is the multiple of the expected time from which on an upstream is told of as slow, toldUsual the one below
	// which it is so no longer.
	toldSlow, toldUsual = 2.0, 1.2
	// paceWeight is the weight of the newest time in what is expected.
	paceWeight = 0.03
)

// slowness says how many times longer than expected an upstream takes. The zero value is the usual.
type slowness struct {
	// above is how much more than once the expected time it takes.
	above fading
}

// withTime returns the slowness after one more time, as a multiple of the expected one.
func (s slowness) withTime(ratio float64, now time.Time) slowness {
	return slowness{s.above.with(min(ratio, mostSlow)-1, slowWeight, slowHalfLife, now)}
}

func (s slowness) decayed(now time.Time) float64 { return s.above.value(slowHalfLife, now) }

// factor returns the multiple of the expected time to reckon with; at least 1.
func (s slowness) factor(now time.Time) float64 { return 1 + max(0, s.decayed(now)-slowBand) }

// Pace is what a kind of request usually takes, over all upstreams. The zero value knows nothing. It is immutable.
type Pace struct{ usual time.Duration }

// With returns the pace after one more time.
func (p Pace) With(took time.Duration) Pace {
	if p.usual == 0 {
		return Pace{took}
	}
	return Pace{p.usual + time.Duration(paceWeight*float64(took-p.usual))}
}

// Usual returns the usual time, zero while nothing is known.
func (p Pace) Usual() time.Duration { return p.usual }

// Ratio returns the time as a multiple of the usual one, 1 while nothing is known.
func (p Pace) Ratio(took time.Duration) float64 {
	if p.usual <= 0 {
		return 1
	}
	return float64(took) / float64(p.usual)
}

// Change is a change of what is believed of an upstream's speed or of its failures.
type Change struct {
	// Slow and Failing say that the upstream counts as such now; otherwise it did and does no longer.
	Slow, Failing bool
	// Factor is the multiple of the expected time that is reckoned with, or the share of answers that are failures.
	Factor float64
}

// Timed notes how long an upstream took, as a multiple of what such a request usually takes. It returns a change worth
// telling, or false.
func (t *Table) Timed(instance string, ratio float64, now time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[instance]
	if !ok {
		return Change{}, false
	}
	return s.timed(ratio, now)
}

// Waited notes that an upstream had not answered after so long; it only counts if that is already more than it usually
// takes.
func (t *Table) Waited(instance string, ratio float64, now time.Time) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[instance]
	if !ok || ratio-1 <= s.slow.decayed(now) {
		return Change{}, false
	}
	return s.timed(ratio, now)
}

func (s *state) timed(ratio float64, now time.Time) (Change, bool) {
	s.slow = s.slow.withTime(ratio, now)
	f := s.slow.factor(now)
	if s.toldSlow && f < toldUsual || !s.toldSlow && f > toldSlow {
		s.toldSlow = !s.toldSlow
		return Change{Slow: s.toldSlow, Factor: f}, true
	}
	return Change{}, false
}
