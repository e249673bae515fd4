// Package roster keeps the upstreams of each service, as they announced themselves and as seen in requests, and picks
// one for each request.
package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/learn"
)

// Upstream is an upstream's announcement.
type Upstream struct {
	// Instance is new at each start of the upstream, with rare exceptions; Incarnation distinguishes starts in any
	// case.
	Instance    string
	Incarnation int64
	Address     string
	Service     string
	// DataCentre is where the upstream runs.
	DataCentre string
	// Slots is the number of requests that it runs concurrently; at least 1.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdFor is how much longer the upstream stays cold, counted from HeardAt; zero if it is warm.
	ColdFor time.Duration
	// HeardAt is when the announcement arrived.
	HeardAt time.Time
}

// Outcome says how an exchange with an upstream ended.
type Outcome int

const (
	// Answered means that a complete answer arrived.
	Answered Outcome = iota
	// Unreachable means that no connection could be made.
	Unreachable
	// Rejected means that the upstream refused to run the request.
	Rejected
	// Broken means that the answer was incomplete.
	Broken
	// Failed means that a complete answer arrived and reports a failure of the upstream.
	Failed
	// Abandoned means that this side ended the exchange.
	Abandoned
	// Misdirected means that another instance answered at the address.
	Misdirected
)

const (
	// unreachableBackoff is how long an upstream is not picked after the first failed connection; it doubles with
	// each consecutive failure.
	unreachableBackoff = 400 * time.Millisecond
	// maxBackoff limits the backoff after consecutive failures. The announcement of a dead upstream is gone after a
	// few seconds.
	maxBackoff = 3 * time.Second
	// rejectedBackoff is how long an upstream is not picked after it rejected a request because it was full.
	rejectedBackoff = 60 * time.Millisecond
	// brokenBackoff is how long an upstream is not picked after the first incomplete answer; it doubles with each
	// consecutive failure.
	brokenBackoff = 100 * time.Millisecond
	// maxMissingFraction is the fraction of a service's upstreams up to which those whose announcements vanished after an
	// outage of the store get no requests. An outage that lets announcements lapse concerns most of them.
	maxMissingFraction = 0.25
	// leavingTTL is how long an upstream is remembered as leaving after it last said so; it terminates within
	// seconds.
	leavingTTL = 10 * time.Minute
	// loadReportTTL is how long a load report is used; upstreams report with each answer.
	loadReportTTL = time.Second
	// remotePenalty is how much lower the load, in requests per slot, of an upstream in another data centre must be
	// for it to be preferred.
	remotePenalty = 0.25
	// prefixEngineFraction is the fraction of the engines that should cache a given shared prompt prefix, so that not
	// all of them prefill it and keep it in memory.
	prefixEngineFraction = 1.0 / 3
	// prefixBonusPerToken is the advantage, in requests per slot for each token of the shared prefix, of an engine
	// that should cache it. An engine prefills a token in some 10 µs, while other requests wait.
	prefixBonusPerToken = 1.6e-5
	// maxPrefixBonus keeps the advantage smaller than remotePenalty.
	maxPrefixBonus = 0.2
	// localTurnRemotePenalty is remotePenalty for turns that run where they arrive. Callers are spread unevenly over data
	// centres, and a few milliseconds are short beside a turn.
	localTurnRemotePenalty = 0.1
	// maxRemoteCacheBonus keeps the advantage of a cache in another data centre smaller than localTurnRemotePenalty.
	maxRemoteCacheBonus = 0.08
	// scoreJitter is the range, in requests per slot, of the random part of a score, so that entries do not all pick
	// the same upstream.
	scoreJitter = 0.04
)

// upstreamState is an upstream with what was observed in requests.
type upstreamState struct {
	Upstream
	// inFlight is the number of this process's exchanges in progress.
	inFlight int
	// otherRequests is the estimated number of other processes' requests at the upstream, as of loadReportedAt.
	otherRequests  int
	loadReportedAt time.Time
	// consecutiveFailures counts failed exchanges since the last complete answer.
	consecutiveFailures int
	// backoffUntil is when the upstream may be picked again.
	backoffUntil time.Time
	slowdown     slowdown
	// failureRate is the moving share of answers that were failures.
	failureRate decayingAverage
	// reportedSlow and reportedFailing say that the last change reported of the upstream was to slow or to failing.
	reportedSlow, reportedFailing bool
	// accepting says that the upstream takes requests even if its last answer was incomplete; during its backoff it
	// is picked if there is no other.
	accepting bool
	cold      coldState
	rateCap   capState
	// missingSince is when the announcement vanished during an outage of the store; zero if it is present.
	missingSince time.Time
	// instanceHash is used by affinityHash only.
	instanceHash uint64
	learned      learnedState
}

// Table holds the upstreams. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamState
	// coldUntil is until when any upstream may be cold.
	coldUntil time.Time
	// mayBeCapped is false if no upstream has a rate cap in force.
	mayBeCapped bool
	// holdUntil is until when vanished announcements are ignored after an outage of the store.
	holdUntil time.Time
	// leaving holds the upstreams that announced that they are leaving, and when. It outlasts their announcements,
	// which may be older than the notice.
	leaving map[Start]time.Time
	// ended holds the upstreams that ended without notice since the last call of TakeEnded.
	ended []Upstream
	// evacuations is the set of data centres whose upstreams get no new requests.
	evacuations    Evacuations
	affinityCounts AffinityCounts
	learning       learningState
}

// Start identifies one start of an upstream.
type Start struct {
	Instance    string
	Incarnation int64
}

// Start returns the start that the announcement belongs to.
func (u Upstream) Start() Start { return Start{u.Instance, u.Incarnation} }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{upstreams: make(map[string]*upstreamState), leaving: make(map[Start]time.Time), learning: newLearningState()}
	for _, o := range opts {
		o(t)
	}
	return t
}

// TakeEnded returns the upstreams that ended without notice since the last call.
func (t *Table) TakeEnded() []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.ended
	t.ended = nil
	return out
}

// recordEnd records that an upstream is gone. The caller holds the lock.
func (t *Table) recordEnd(s *upstreamState) {
	if !s.Draining {
		t.ended = append(t.ended, s.Upstream)
	}
}

// Update records the latest announcement of an upstream. It returns the address of an earlier start that is gone, and
// whether the upstream begins to drain.
func (t *Table) Update(u Upstream) (gone string, drains bool) { return t.update(u, false) }

// update records an announcement. Repeated says that it was read with a complete list, which may hold older ones.
func (t *Table) update(u Upstream, repeated bool) (gone string, drains bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[u.Instance]
	if !ok || s.Incarnation != u.Incarnation || s.Address != u.Address {
		if ok {
			gone = s.Address
			t.recordEnd(s)
		}
		s = &upstreamState{learned: newLearnedState(u.Slots)}
		if !repeated {
			s.cold.warmSince = u.HeardAt // It has just started.
		}
		t.upstreams[u.Instance] = s
	}
	_, leaving := t.leaving[u.Start()]
	u.Draining = u.Draining || leaving
	drains = u.Draining && !s.Draining
	s.Upstream = u
	t.setCold(s, s.cold.withAnnouncement(u.ColdFor, u.HeardAt, repeated))
	s.learned.capacity = s.learned.capacity.WithSlots(u.Slots)
	s.missingSince = time.Time{}
	return gone, drains
}

// Remove records the end of an announcement and returns the upstream's address if it was removed.
func (t *Table) Remove(instance string, now time.Time) (gone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if !ok {
		return ""
	}
	if now.Before(t.holdUntil) {
		s.missingSince = now
		return ""
	}
	delete(t.upstreams, instance)
	t.recordEnd(s)
	return s.Address
}

// Replace records a complete list of announcements: upstreams that are not in it are removed.
func (t *Table) Replace(list []Upstream, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Instance] = true
		t.update(u, true)
	}
	for _, id := range t.instances() {
		if !listed[id] {
			t.Remove(id, now)
		}
	}
}

func (t *Table) instances() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.upstreams))
}

// Criteria describes the request that an upstream is picked for.
type Criteria struct {
	Service string
	// DataCentre is where the caller's process runs.
	DataCentre string
	// CachedOn is the instance that holds the program's cache; empty for none.
	CachedOn string
	// CacheBonus is how much lower the load, in requests per slot, of another instance must be for it to be preferred
	// to CachedOn.
	CacheBonus float64
	// StayLocal means that the cache does not outweigh the distance to another data centre: the prompt would have to be
	// sent there.
	StayLocal bool
	// SparseReports means that this process hears from an upstream less often than its reports are used. Upstreams without
	// one then count with the mean load of the others, instead of as idle.
	SparseReports bool
	// SharedPrefix identifies a prompt prefix that many programs share, SharedPrefixTokens is its length; empty for
	// none.
	SharedPrefix       string
	SharedPrefixTokens int64
	// Exclude lists instances that were already tried.
	Exclude []string
	// Allows reports whether the request may run in a data centre; nil if it may run in all.
	Allows func(dataCentre string) bool
	// Affinity identifies the object that the request concerns; empty for none. Requests with the same value go to the same
	// upstream, bounded by its load.
	Affinity string
	// LimitCold says that cold upstreams need a permit; those with a rate cap always do. Permitted lists the instances for
	// which there is one.
	LimitCold bool
	Permitted []string
	// IgnorePermits makes upstreams eligible as if there were a permit for each.
	IgnorePermits bool
	// Typical is the typical time of such a request, zero if unknown; Distances are the round trips to data centres.
	// Both are used where the capacity of upstreams is learned.
	Typical   time.Duration
	Distances learn.Distances
}

// Pick picks an upstream and counts the exchange as in progress; the caller must call Done afterwards. It returns
// false if no upstream is available.
func (t *Table) Pick(c Criteria, now time.Time) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *upstreamState
	if c.Affinity != "" {
		best = t.byAffinity(c, now)
	}
	if best == nil {
		best = t.best(c, now, false)
	}
	if best == nil {
		best = t.best(c, now, true)
	}
	if best == nil {
		return Upstream{}, false
	}
	best.inFlight++
	best.learned.sent(c.Typical, now)
	return best.Upstream, true
}

// best returns the upstream with the lowest score. Upstreams in backoff after an incomplete answer are considered
// only if includeBroken is set.
func (t *Table) best(c Criteria, now time.Time, includeBroken bool) *upstreamState {
	if sv := t.service(c.Service, now); sv.learns {
		return t.place(sv, c, now, includeBroken)
	}
	var best *upstreamState
	var bestScore float64
	assumed := t.assumedLoad(c, now)
	for _, s := range t.upstreams {
		if !t.eligible(s, c, now, includeBroken) {
			continue
		}
		if score := s.score(c, s.load(assumed, now), now); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// eligible reports whether the upstream may be picked. The caller holds the lock.
func (t *Table) eligible(s *upstreamState, c Criteria, now time.Time, includeBroken bool) bool {
	if s.Service != c.Service || s.Draining || slices.Contains(c.Exclude, s.Instance) {
		return false
	}
	if !t.open(s.DataCentre, c.Allows) || s.lacksPermit(c, now) {
		return false
	}
	if !s.missingSince.IsZero() && t.fewMissing(c.Service) {
		return false
	}
	return !now.Before(s.backoffUntil) || (includeBroken && s.accepting)
}

// Done ends an exchange that Pick began. It returns a change to report, if the upstream starts or stops counting as
// failing.
func (t *Table) Done(instance string, o Outcome, now time.Time) (c HealthChange, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if !ok {
		return HealthChange{}, false
	}
	s.inFlight = max(0, s.inFlight-1)
	if s.inFlight == 0 || o == Answered || o == Failed {
		s.learned.heard()
	}
	s.accepting = o == Answered || o == Failed || o == Broken || (o == Abandoned && s.accepting)
	switch o {
	case Answered, Failed:
		s.consecutiveFailures = 0
		c, changed = s.recordAnswer(o == Failed, now)
	case Abandoned:
	case Unreachable:
		s.consecutiveFailures++
		s.backoffUntil = now.Add(min(maxBackoff, unreachableBackoff<<min(s.consecutiveFailures-1, 4)))
	case Rejected:
		s.backoffUntil = now.Add(rejectedBackoff)
	case Broken:
		s.consecutiveFailures++
		s.backoffUntil = now.Add(min(maxBackoff, brokenBackoff<<min(s.consecutiveFailures-1, 5)))
		c, changed = s.recordAnswer(true, now)
	case Misdirected:
		delete(t.upstreams, instance)
		t.recordEnd(s)
	}
	return c, changed
}

// Len returns the number of upstreams.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.upstreams)
}
