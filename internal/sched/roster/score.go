package roster

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// score returns the expected time, of the request itself and of those ahead of it, in units of an idle upstream's time,
// with advantages and penalties as load in requests per slot. Lower is better.
func (s *upstreamState) score(c Criteria, load float64, now time.Time) float64 {
	score := (1+load)*s.slowdown.factor(now) - 1 + scoreJitter*rand.Float64()
	score += s.penalty(now)
	if c.LimitCold {
		score += s.cold.penalty(now)
	}
	if s.DataCentre != c.DataCentre {
		score += c.remotePenalty()
	}
	if s.Instance == c.CachedOn {
		score -= s.cacheBonus(c)
	}
	if c.SharedPrefix != "" && s.cachesPrefix(c.SharedPrefix) {
		score -= min(maxPrefixBonus, prefixBonusPerToken*float64(c.SharedPrefixTokens))
	}
	return score
}

// remotePenalty returns how much lower the load of an upstream in another data centre must be.
func (c Criteria) remotePenalty() float64 {
	if c.StayLocal {
		return localTurnRemotePenalty
	}
	return remotePenalty
}

// cacheBonus returns the advantage of the upstream that holds the program's cache.
func (s *upstreamState) cacheBonus(c Criteria) float64 {
	if c.StayLocal && s.DataCentre != c.DataCentre {
		return min(c.CacheBonus, maxRemoteCacheBonus)
	}
	return c.CacheBonus
}

// cachesPrefix reports whether the engine is one of those that should cache the shared prompt prefix. All processes
// compute the same result without coordination.
func (s *upstreamState) cachesPrefix(prefix string) bool {
	return float64(xxhash.Sum64String(prefix+"\x00"+s.Instance)) < prefixEngineFraction*math.MaxUint64
}

// load returns the requests per slot. Without a report, other processes' requests count as assumed.
func (s *upstreamState) load(assumed float64, now time.Time) float64 {
	slots := float64(max(1, s.Slots))
	if s.reported(now) {
		return float64(s.inFlight+s.otherRequests) / slots
	}
	return float64(s.inFlight)/slots + assumed
}

// assumedLoad returns the load of upstreams without a report. The caller holds the lock.
func (t *Table) assumedLoad(c Criteria, now time.Time) float64 {
	if !c.SparseReports {
		return 0
	}
	return t.reportedLoad(c.Service, now)
}

// reported reports whether there is a load report that is recent enough.
func (s *upstreamState) reported(now time.Time) bool {
	return now.Sub(s.loadReportedAt) < loadReportTTL
}

// reportedLoad returns the mean load, by slots, of the service's upstreams that reported theirs. The caller holds the lock.
func (t *Table) reportedLoad(service string, now time.Time) float64 {
	slots, held := 0, 0
	for _, s := range t.upstreams {
		if s.Service == service && !s.Draining && s.reported(now) {
			slots += s.Slots
			held += s.inFlight + s.otherRequests
		}
	}
	return float64(held) / float64(max(1, slots))
}
