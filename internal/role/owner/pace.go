package owner

import (
	"sync"
	"time"
)

const (
	// leastTimeout is the least time that one try of a store call is given; the store answers in a few milliseconds.
	leastTimeout = 100 * time.Millisecond
	// mostTimeout bounds one try.
	mostTimeout = 1500 * time.Millisecond
	// quickTries is the number of tries that are given up early, so that the end of an outage is noticed soon. After
	// them every longEvery-th try gives a store that has turned very slow more time.
	quickTries = 8
	longEvery  = 4
	// doublings bounds how much longer than the first a quick try may take.
	doublings = 2
	// timeoutFactor is how many times the usual time of an answer a try may take before its answer counts as lost.
	timeoutFactor = 5
	// paceWeight is the weight of the newest answer in the usual time.
	paceWeight = 0.3
)

// pace learns how long the store takes to answer. Calls that may be repeated are given up early while it is quick,
// since an answer may be lost, and are given time while it is slow. The zero value is ready for use.
type pace struct {
	mu    sync.Mutex
	usual time.Duration
}

// answered takes the time of one answer.
func (p *pace) answered(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(paceWeight * float64(d-p.usual))
}

// timeout returns how long the try with the number, from zero, may take.
func (p *pace) timeout(try int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if try >= quickTries && try%longEvery == 0 {
		return mostTimeout
	}
	return min(mostTimeout, max(leastTimeout, timeoutFactor*p.usual)<<min(try, doublings))
}
