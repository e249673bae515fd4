package roster

import "time"

const (
	// failWeight is the weight of the newest answer in the share of answers that are failures.
	failWeight = 0.2
	// failHalfLife is the time in which that share halves, so that the upstream is tried again with a little.
	failHalfLife = 5 * time.Second
	// failBand is the share of failures that does not count, since sound services fail now and then.
	failBand = 0.15
	// failCost is the requests per slot that a certain failure weighs as much as: a request that fails has to be sent
	// again from its start.
	failCost = 4.0
	// toldFailing is the share of failures from which on an upstream is told of as failing, toldSound the one below which
	// it is so no longer.
	toldFailing, toldSound = 0.45, 0.1
	// hearsay is the share of failures that another process's word stands for. An upstream may fail for some callers only.
	hearsay = 0.5
)

// penalty is the load that the upstream's failures weigh as much as.
func (s *state) penalty(now time.Time) float64 {
	return failCost * max(0, s.failing.value(failHalfLife, now)-failBand)
}

// answered notes whether an answer was a failure, and returns whether to tell of the upstream as failing, or as sound.
func (s *state) answered(failed bool, now time.Time) (Change, bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.failing = s.failing.with(x, failWeight, failHalfLife, now)
	v := s.failing.value(failHalfLife, now)
	if s.toldFailing && v < toldSound || !s.toldFailing && v > toldFailing {
		s.toldFailing = !s.toldFailing
		return Change{Failing: s.toldFailing, Factor: v}, true
	}
	return Change{}, false
}

// HeardFailing takes another process's word that the upstream fails.
func (t *Table) HeardFailing(instance string, born int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[instance]
	if ok && s.Born == born && s.failing.value(failHalfLife, now) < hearsay {
		s.failing = fading{v: hearsay, at: now}
	}
}
