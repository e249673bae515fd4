// Package admit decides whether a program may start. A program uses engines until it ends, so beyond capacity each
// additional program delays all of them. Running programs always continue; new ones are refused while the engines are
// full, the less urgent ones first.
package admit

import "time"

// Gauge is the load of a service's engines.
type Gauge struct {
	// Slots is the number of requests that all engines run concurrently, Held the number that run or wait there.
	Slots int
	Held  float64
}

// Load returns the requests per slot.
func (g Gauge) Load() float64 { return g.Held / float64(max(1, g.Slots)) }

// Ask is a program's request to start.
type Ask struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Left is the time until the program's deadline, Whole the time it had when it first arrived; zero if unknown.
	Left, Whole time.Duration
}

// Policy holds the load limits. It is immutable.
type Policy struct {
	// Full is the load at which no program may start.
	Full float64
	// PerRank is how much lower the limit is for each less urgent rank, Ranks the number of ranks distinguished.
	PerRank float64
	Ranks   int
	// LateShare is the fraction of Whole below which a program is expected to end late, LateFull the load at which
	// such a program is refused.
	LateShare, LateFull float64
	// RetryAfter is the delay after which a refused program may retry.
	RetryAfter time.Duration
}

// DefaultPolicy returns the default limits. With all slots in use, an engine's tokens arrive half as fast as with
// one, and a program may take 1.4 to 2.1 times as long as on idle engines.
func DefaultPolicy() Policy {
	return Policy{
		Full: 0.90, PerRank: 0.08, Ranks: 3, LateShare: 0.75, LateFull: 0.55, RetryAfter: 700 * time.Millisecond,
	}
}

// WithFull returns the policy with another load at which no program may start.
func (p Policy) WithFull(load float64) Policy {
	p.Full = load
	return p
}

// Limit returns the load at which the program is refused.
func (p Policy) Limit(a Ask) float64 {
	limit := p.Full - p.PerRank*float64(min(a.Rank, p.Ranks-1))
	if a.Whole > 0 && a.Left < time.Duration(p.LateShare*float64(a.Whole)) {
		limit = min(limit, p.LateFull)
	}
	return limit
}

// Begin reports whether the program may start, and otherwise the delay after which it may retry.
func (p Policy) Begin(g Gauge, a Ask) (ok bool, retryAfter time.Duration) {
	if g.Slots == 0 || g.Load() < p.Limit(a) {
		return true, 0
	}
	return false, p.RetryAfter
}
