// Package admit decides whether a program may start. A program uses engines until it ends, so beyond capacity each
// additional program delays all of them. Running programs always continue; new ones are refused while the engines are
// full, the less urgent ones first.
package admit

import "time"

// Usage is the load of a service's engines.
type Usage struct {
	// Slots is the number of requests that all engines run concurrently, Requests the number that run or wait there.
	Slots    int
	Requests float64
}

// Load returns the requests per slot.
func (u Usage) Load() float64 { return u.Requests / float64(max(1, u.Slots)) }

// Request is a program's request to start.
type Request struct {
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// TimeLeft is the time until the program's deadline, TotalTime the time it had when it first arrived; zero if
	// unknown.
	TimeLeft, TotalTime time.Duration
}

// Policy holds the load limits. It is immutable.
type Policy struct {
	// MaxLoad is the load at which no program may start.
	MaxLoad float64
	// PriorityStep is how much lower the limit is for each less urgent priority, Priorities the number of priorities
	// distinguished.
	PriorityStep float64
	Priorities   int
	// LateFraction is the fraction of TotalTime below which a program is expected to end late, LateMaxLoad the load at
	// which such a program is refused.
	LateFraction, LateMaxLoad float64
	// RetryAfter is the delay after which a refused program may retry.
	RetryAfter time.Duration
}

// DefaultPolicy returns the default limits. With all slots in use, an engine's tokens arrive half as fast as with
// one, and a program may take 1.4 to 2.1 times as long as on idle engines.
func DefaultPolicy() Policy {
	return Policy{
		MaxLoad: 0.90, PriorityStep: 0.08, Priorities: 3, LateFraction: 0.75, LateMaxLoad: 0.55,
		RetryAfter: 700 * time.Millisecond,
	}
}

// WithMaxLoad returns the policy with another load at which no program may start.
func (p Policy) WithMaxLoad(load float64) Policy {
	p.MaxLoad = load
	return p
}

// Limit returns the load at which the program is refused.
func (p Policy) Limit(r Request) float64 {
	limit := p.MaxLoad - p.PriorityStep*float64(min(r.Priority, p.Priorities-1))
	if r.TotalTime > 0 && r.TimeLeft < time.Duration(p.LateFraction*float64(r.TotalTime)) {
		limit = min(limit, p.LateMaxLoad)
	}
	return limit
}

// Admit reports whether the program may start, and otherwise the delay after which it may retry.
func (p Policy) Admit(u Usage, r Request) (ok bool, retryAfter time.Duration) {
	if u.Slots == 0 || u.Load() < p.Limit(r) {
		return true, 0
	}
	return false, p.RetryAfter
}
