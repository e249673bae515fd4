package roster

import (
	"math"
	"time"

	"galenaward.example/galenaward/internal/sched/affin"
)

// AffinityCounts counts the picks for requests that concern an object.
type AffinityCounts struct {
	// First counts picks of the object's first upstream among those that were eligible, Later those of another one because
	// of load, and Unbounded those without regard to the object because every upstream exceeded the bound.
	First, Later, Unbounded int64
}

// AffinityCounts returns the counts since the start of the process.
func (t *Table) AffinityCounts() AffinityCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.affinityCounts
}

// reportHalfLife is the half-life of a load report once it has expired. An upstream that is passed over because of its load
// sends no reports. If it counted as idle as soon as the last one expires, all processes would return to it at once.
const reportHalfLife = 2 * time.Second

// byAffinity returns the upstream for the object that the request concerns, or nil if there is none within the bound on
// its load. The caller holds the lock.
func (t *Table) byAffinity(c Criteria, now time.Time) *upstreamState {
	states := make([]*upstreamState, 0, len(t.upstreams))
	candidates := make([]affin.Candidate, 0, len(t.upstreams))
	slots, held := 0, 0.0
	for _, s := range t.upstreams {
		if !t.eligible(s, c, now, false) {
			continue
		}
		load := s.estimatedLoad(now)
		slots += s.Slots
		held += load * float64(s.Slots)
		states = append(states, s)
		candidates = append(candidates, affin.Candidate{
			Hash: s.affinityHash(), Load: (1+load)*s.slowdown.factor(now) - 1 + s.penalty(now),
		})
	}
	if len(states) == 0 {
		return nil
	}
	choice := affin.DefaultPolicy().Choose(c.Affinity, candidates, held/float64(max(1, slots)))
	switch {
	case choice.Index < 0:
		t.affinityCounts.Unbounded++
		return nil
	case choice.First:
		t.affinityCounts.First++
	default:
		t.affinityCounts.Later++
	}
	return states[choice.Index]
}

// affinityHash returns the hash of the instance's name, which is computed once.
func (s *upstreamState) affinityHash() uint64 {
	if s.instanceHash == 0 {
		s.instanceHash = affin.Hash(s.Instance)
	}
	return s.instanceHash
}

// estimatedLoad returns the requests per slot. The other processes' part decays after the last report has expired.
func (s *upstreamState) estimatedLoad(now time.Time) float64 {
	expired := now.Sub(s.loadReportedAt) - loadReportTTL
	if expired < 0 || s.otherRequests == 0 {
		return s.load(0, now)
	}
	others := float64(s.otherRequests) * math.Exp2(-expired.Seconds()/reportHalfLife.Seconds())
	return (float64(s.inFlight) + others) / float64(max(1, s.Slots))
}
