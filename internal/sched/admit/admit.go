// Package admit decides whether a program may begin. A program that begins keeps engines busy until it ends, so
// beyond capacity every program more makes all of them late. Programs under way always go on; those that begin are
// refused while the engines are full, the less urgent ones first.
package admit

import "time"

// Gauge is the state of the engines of a service.
type Gauge struct {
	// Slots is the requests that all engines run at once, Held those that run and wait there.
	Slots int
	Held  float64
}

// Load returns the requests per slot.
func (g Gauge) Load() float64 { return g.Held / float64(max(1, g.Slots)) }

// Ask is a program that wants to begin.
type Ask struct {
	// Rank is its urgency; 0 is the most urgent.
	Rank int
	// Left is the time until the program should be finished, Whole what it had when it first came; zero if unknown.
	Left, Whole time.Duration
}

// Policy holds the limits of load. It is immutable.
type Policy struct {
	// Full is the load at which no program may begin.
	Full float64
	// PerRank is how much earlier each less urgent rank is refused, Ranks the number of ranks told apart.
	PerRank float64
	Ranks   int
	// LateShare is the part of its whole time below which a program will end late, LateFull the load at which such a
	// program is refused.
	LateShare, LateFull float64
	// RetryAfter is when a refused program may come back.
	RetryAfter time.Duration
}

// DefaultPolicy returns the policy in force. An engine's tokens come half as fast with all slots taken as with one,
// and a program may take 1.4 to 2.1 times its time on idle engines.
func DefaultPolicy() Policy {
	return Policy{
		Full: 0.90, PerRank: 0.08, Ranks: 3, LateShare: 0.75, LateFull: 0.55, RetryAfter: 700 * time.Millisecond,
	}
}

// WithFull returns the policy with another load at which no program may begin.
func (p Policy) WithFull(load float64) Policy {
	p.Full = load
	return p
}

// Limit returns the load from which on the program is refused.
func (p Policy) Limit(a Ask) float64 {
	limit := p.Full - p.PerRank*float64(min(a.Rank, p.Ranks-1))
	if a.Whole > 0 && a.Left < time.Duration(p.LateShare*float64(a.Whole)) {
		limit = min(limit, p.LateFull)
	}
	return limit
}

// Begin reports whether the program may begin, and otherwise when it may come back.
func (p Policy) Begin(g Gauge, a Ask) (ok bool, retryAfter time.Duration) {
	if g.Slots == 0 || g.Load() < p.Limit(a) {
		return true, 0
	}
	return false, p.RetryAfter
}
