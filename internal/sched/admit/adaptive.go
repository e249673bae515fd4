package admit

import "time"

const (
	// minMaxLoad and maxMaxLoad bound the load at which an Adaptive lets programs start. Below the former, engines have free
	// slots. The latter bounds how many programs a burst can start before the turns' waits show it; beyond it, engines also
	// run out of memory and preempt turns.
	minMaxLoad, maxMaxLoad = 0.9, 1.5
	// lateLoadFraction is the fraction of the limit above which a program that is expected to end late may not start.
	lateLoadFraction = 0.7
	// waitFraction is the fraction of the latency objective that turns may wait at engines on average. The rest is for the
	// prompt, the network and for turns that wait longer than others.
	waitFraction = 0.3
	// waitWeight is the weight of the latest turn in the average wait.
	waitWeight = 0.1
	// adjustInterval is the time between two adjustments of the limit, loadStep by how much it rises, backoffFactor the
	// factor by which it falls. A limit that is too high falls to the lowest within two seconds, in which a burst fills the
	// queues of the engines.
	adjustInterval = 200 * time.Millisecond
	loadStep       = 0.05
	backoffFactor  = 0.9
	// shortestDoubling is the time in which the shortest known time to the first event doubles, so that an engine that
	// became slower for good is not taken for a busy one.
	shortestDoubling = 60 * time.Second
)

// Adaptive finds the load up to which programs may start from how long turns wait at the engines for their first event.
// Engines differ in how much they slow down when they are full, so a load says little about whether engine time is scarce.
// The zero value starts with the lowest limit. It is immutable.
type Adaptive struct {
	// limit is between minMaxLoad and maxMaxLoad; zero before the first turn.
	limit float64
	// shortest is the shortest time to a first event, as of shortestAt; what exceeds it counts as waiting.
	shortest   time.Duration
	shortestAt time.Time
	// wait is the average wait as a fraction of the latency objective.
	wait       float64
	adjustedAt time.Time
}

// WithFirstEvent returns the policy after a turn whose first event came after the given time.
func (a Adaptive) WithFirstEvent(took, objective time.Duration, now time.Time) Adaptive {
	if objective <= 0 {
		return a
	}
	if s := a.shortestNow(now); s == 0 || took < s {
		a.shortest, a.shortestAt = took, now
	}
	wait := float64(took-a.shortestNow(now)) / float64(objective)
	a.wait += waitWeight * (min(wait, 1) - a.wait)
	if now.Sub(a.adjustedAt) < adjustInterval {
		return a
	}
	a.adjustedAt = now
	a.limit = max(a.limit, minMaxLoad)
	if a.wait > waitFraction {
		a.limit = max(minMaxLoad, a.limit*backoffFactor)
	} else {
		a.limit = min(maxMaxLoad, a.limit+loadStep)
	}
	return a
}

// shortestNow returns the shortest time to a first event, which grows while no shorter one is seen.
func (a Adaptive) shortestNow(now time.Time) time.Duration {
	return time.Duration(float64(a.shortest) * (1 + now.Sub(a.shortestAt).Seconds()/shortestDoubling.Seconds()))
}

// Limit returns the load at which programs are refused.
func (a Adaptive) Limit() float64 { return max(a.limit, minMaxLoad) }

// Wait returns the average wait for the first event as a fraction of the latency objective.
func (a Adaptive) Wait() float64 { return a.wait }

// Apply returns the policy with the limits found, and the policy itself before the first turn.
func (a Adaptive) Apply(p Policy) Policy {
	if a.limit == 0 {
		return p
	}
	p = p.WithMaxLoad(a.Limit())
	p.LateMaxLoad = lateLoadFraction * a.Limit()
	return p
}
