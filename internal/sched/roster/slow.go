package roster

import "time"

const (
	// slowWeight is the weight of the latest time in an upstream's slowdown.
	slowWeight = 0.2
	// slowHalfLife is the half-life of an upstream's slowdown without new times, so that a slow upstream is retried
	// with a little traffic.
	slowHalfLife = 4 * time.Second
	// slowTolerance is the slowdown above the typical time that is not counted, since requests differ.
	slowTolerance = 0.6
	// maxSlowRatio limits a single time, so that one long request does not exclude an upstream.
	maxSlowRatio = 8
	// reportSlowAbove is the multiple of the expected time above which an upstream is reported as slow,
	// reportUsualBelow the one below which it is reported as usual again.
	reportSlowAbove, reportUsualBelow = 2.0, 1.2
	// typicalTimeWeight is the weight of the latest time in the expected time.
	typicalTimeWeight = 0.03
)

// slowdown is the ratio of an upstream's times to the expected ones. The zero value is a ratio of 1.
type slowdown struct {
	// excess is the ratio minus 1.
	excess decayingAverage
}

// withRatio returns the slowdown after one more time, given as a multiple of the expected one.
func (s slowdown) withRatio(ratio float64, now time.Time) slowdown {
	return slowdown{s.excess.with(min(ratio, maxSlowRatio)-1, slowWeight, slowHalfLife, now)}
}

func (s slowdown) current(now time.Time) float64 { return s.excess.value(slowHalfLife, now) }

// factor returns the multiple of the expected time used in scores; at least 1.
func (s slowdown) factor(now time.Time) float64 { return 1 + max(0, s.current(now)-slowTolerance) }

// TypicalTime is the typical time of one kind of request, as a moving average over all upstreams. The zero value has no
// estimate. It is immutable.
type TypicalTime struct{ duration time.Duration }

// WithTime returns the typical time after one more measurement.
func (t TypicalTime) WithTime(took time.Duration) TypicalTime {
	if t.duration == 0 {
		return TypicalTime{took}
	}
	return TypicalTime{t.duration + time.Duration(typicalTimeWeight*float64(took-t.duration))}
}

// Duration returns the typical time, zero if there is no estimate.
func (t TypicalTime) Duration() time.Duration { return t.duration }

// Ratio returns the time as a multiple of the typical one, 1 if there is no estimate.
func (t TypicalTime) Ratio(took time.Duration) float64 {
	if t.duration <= 0 {
		return 1
	}
	return float64(took) / float64(t.duration)
}

// HealthChange is a change in the assessment of an upstream's speed or failures.
type HealthChange struct {
	// Slow and Failing say that the upstream now counts as such. If neither is set, it no longer does.
	Slow, Failing bool
	// Factor is the multiple of the expected time used in scores, or the failure rate.
	Factor float64
}

// RecordTime records how long an upstream took, as a multiple of the typical time of such a request. It returns a
// change to report, if the upstream starts or stops counting as slow.
func (t *Table) RecordTime(instance string, ratio float64, now time.Time) (HealthChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if !ok {
		return HealthChange{}, false
	}
	return s.recordRatio(ratio, now)
}

// RecordWait records that an upstream has not answered for the given multiple of the typical time. It has an effect
// only if that already exceeds the upstream's current slowdown.
func (t *Table) RecordWait(instance string, ratio float64, now time.Time) (HealthChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if !ok || ratio-1 <= s.slowdown.current(now) {
		return HealthChange{}, false
	}
	return s.recordRatio(ratio, now)
}

func (s *upstreamState) recordRatio(ratio float64, now time.Time) (HealthChange, bool) {
	s.slowdown = s.slowdown.withRatio(ratio, now)
	f := s.slowdown.factor(now)
	if s.reportedSlow && f < reportUsualBelow || !s.reportedSlow && f > reportSlowAbove {
		s.reportedSlow = !s.reportedSlow
		return HealthChange{Slow: s.reportedSlow, Factor: f}, true
	}
	return HealthChange{}, false
}
