package roster

import "time"

const (
	// failureWeight is the weight of the latest answer in the failure rate, the moving average of the share of
	// answers that are failures.
	failureWeight = 0.2
	// failureHalfLife is the half-life of the failure rate without new answers, so that a failing upstream is retried
	// with a little traffic.
	failureHalfLife = 5 * time.Second
	// failureTolerance is the failure rate that is not penalized, since healthy services fail occasionally.
	failureTolerance = 0.15
	// failurePenalty is the load, in requests per slot, that a failure rate of 1 weighs as much as. A request that
	// fails has to be sent again from its start.
	failurePenalty = 4.0
	// reportFailingAbove is the failure rate above which an upstream is reported as failing, reportSoundBelow the one
	// below which it is reported as sound again.
	reportFailingAbove, reportSoundBelow = 0.45, 0.1
	// reportedFailureRate is the failure rate assumed after another process's report. It is well below 1, since an
	// upstream may fail for some callers only.
	reportedFailureRate = 0.5
)

// penalty returns the load that the upstream's failure rate weighs as much as.
func (s *upstreamState) penalty(now time.Time) float64 {
	return failurePenalty * max(0, s.failureRate.value(failureHalfLife, now)-failureTolerance)
}

// recordAnswer records whether an answer was a failure. It returns a change to report, if the upstream starts or
// stops counting as failing.
func (s *upstreamState) recordAnswer(failed bool, now time.Time) (HealthChange, bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.failureRate = s.failureRate.with(x, failureWeight, failureHalfLife, now)
	v := s.failureRate.value(failureHalfLife, now)
	if s.reportedFailing && v < reportSoundBelow || !s.reportedFailing && v > reportFailingAbove {
		s.reportedFailing = !s.reportedFailing
		return HealthChange{Failing: s.reportedFailing, Factor: v}, true
	}
	return HealthChange{}, false
}

// RecordPeerFailure records another process's report that an upstream fails.
func (t *Table) RecordPeerFailure(instance string, incarnation int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if ok && s.Incarnation == incarnation && s.failureRate.value(failureHalfLife, now) < reportedFailureRate {
		s.failureRate = decayingAverage{last: reportedFailureRate, updatedAt: now}
	}
}
