package roster

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// samples is the number of upstreams that a request is placed among. With two, the fast ones are used too little; with
	// more than four, many gateways pick the same one.
	samples = 5
	// sampleBias is how strongly the distance and the caches of an upstream count in the choice of the samples.
	sampleBias = 4.0
	// silenceTolerance divides the time without an answer, in typical times: calls take up to 1.6 times their mean, and
	// longer on a machine with other workloads.
	silenceTolerance = 2.0
)

// place returns the upstream with the least expected time among a few that are sampled at random, near ones more often. All
// processes see much the same reports, of which some are old: if each compared all upstreams, many would pick the same one at
// once. The upstream that holds the program's cache is always among the samples. The caller holds the lock.
func (t *Table) place(sv *serviceState, c Criteria, now time.Time, includeBroken bool) *upstreamState {
	var sampled [samples]*upstreamState
	var keys [samples]float64
	var cached *upstreamState
	n := 0
	for _, s := range t.upstreams {
		if !t.eligible(s, c, now, includeBroken) {
			continue
		}
		if s.Instance == c.CachedOn {
			cached = s
			continue
		}
		// The smallest of exponentially distributed keys are a weighted sample.
		key := rand.ExpFloat64()
		if o := s.offset(c); o != 0 {
			key *= math.Exp(sampleBias * o)
		}
		i := n
		if n < samples {
			n++
		} else if i--; key >= keys[i] {
			continue
		}
		for ; i > 0 && keys[i-1] > key; i-- {
			keys[i], sampled[i] = keys[i-1], sampled[i-1]
		}
		keys[i], sampled[i] = key, s
	}
	best, bestCost := cached, math.Inf(1)
	if cached != nil {
		bestCost = cached.cost(sv, c, now)
	}
	for _, s := range sampled[:n] {
		if cost := s.cost(sv, c, now); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// cost returns the expected time of the request at the upstream, in units of the typical time, with advantages and
// penalties. Lower is better.
func (s *upstreamState) cost(sv *serviceState, c Criteria, now time.Time) float64 {
	cost := s.learned.capacity.Delay(s.inFlight, sv.means, now)
	// An upstream that stopped answering is expected to take as long again as it already has.
	cost = max(cost, s.learned.unanswered(now)/silenceTolerance)
	cost += s.penalty(now) + s.offset(c)
	if c.LimitCold {
		cost += s.cold.penalty(now)
	}
	if s.Instance == c.CachedOn {
		cost -= s.cacheBonus(c)
	}
	return cost
}

// offset returns the part of the cost that does not depend on the upstream's load: the distance and the cache of a shared
// prefix.
func (s *upstreamState) offset(c Criteria) float64 {
	o := 0.0
	if s.DataCentre != c.DataCentre {
		o = c.remotePenalty()
		if c.Typical > 0 {
			o = float64(c.Distances.RoundTrip(c.DataCentre, s.DataCentre)) / float64(c.Typical)
		}
	}
	if c.SharedPrefix != "" && s.cachesPrefix(c.SharedPrefix) {
		o -= min(maxPrefixBonus, prefixBonusPerToken*float64(c.SharedPrefixTokens))
	}
	return o
}
