package roster

import (
	"cmp"
	"slices"
	"time"

	"galenaward.example/galenaward/internal/sched/learn"
)

// Learning says for which services the capacity of upstreams is learned.
type Learning int

const (
	// LearnAuto learns it for services of which an upstream reports a pace.
	LearnAuto Learning = iota
	// LearnAll learns it for all services.
	LearnAll
	// LearnNone uses the announced slots.
	LearnNone
)

// Option configures a table.
type Option func(*Table)

// WithLearning sets for which services the capacity of upstreams is learned; LearnAuto if it is not set.
func WithLearning(l Learning) Option { return func(t *Table) { t.learning.mode = l } }

const (
	// refreshInterval is how long the means of a service are used. They change within seconds, and to compute them takes a
	// pass over all upstreams.
	refreshInterval = 200 * time.Millisecond
	// impliedLoadAbove is the multiple of the expected time above which a wait shows a queue. Calls take up to 1.6 times
	// their mean.
	impliedLoadAbove = 2.0
	// maxImpliedLoad bounds the requests that a wait implies, as a multiple of the limit. A single long wait may have
	// another cause, and an upstream that answers again must be used again soon.
	maxImpliedLoad = 3.0
	// limitStep is the change of a limit, as a fraction of the announced slots, that is reported.
	limitStep = 0.25
	// maxLimitChanges bounds the changes that are kept until they are taken.
	maxLimitChanges = 64
)

// learnedState is what was learned of an upstream.
type learnedState struct {
	capacity learn.Capacity
	// reportedLimit is the limit that was last reported as changed.
	reportedLimit int
	// unansweredSince is when the oldest request was sent since the upstream was last heard, zero if there is none;
	// unansweredTypical is the typical time of such a request, zero if unknown.
	unansweredSince   time.Time
	unansweredTypical time.Duration
}

// sent records that a request is sent to the upstream.
func (l *learnedState) sent(typical time.Duration, now time.Time) {
	if l.unansweredSince.IsZero() {
		l.unansweredSince, l.unansweredTypical = now, typical
	}
}

// heard records that the upstream answered, or that no request to it is left.
func (l *learnedState) heard() { l.unansweredSince = time.Time{} }

// unanswered returns how long the oldest request has been without any answer from the upstream, as a multiple of the typical
// time of that request; zero if unknown. Requests to one upstream may be of routes whose typical times differ much.
func (l *learnedState) unanswered(now time.Time) float64 {
	if l.unansweredSince.IsZero() || l.unansweredTypical <= 0 {
		return 0
	}
	return float64(now.Sub(l.unansweredSince)) / float64(l.unansweredTypical)
}

func newLearnedState(slots int) learnedState {
	c := learn.New(slots)
	return learnedState{capacity: c, reportedLimit: c.Limit()}
}

// serviceState is what is common to the upstreams of one service.
type serviceState struct {
	// learns says that the capacity of the service's upstreams is learned.
	learns      bool
	means       learn.Means
	refreshedAt time.Time
}

// LimitChange is a change of the number of requests that an upstream handles well.
type LimitChange struct {
	Upstream    Upstream
	Before, Now int
	Reason      learn.Reason
	// Factor and Pace are multiples of the typical time.
	Factor, Pace float64
	// ReportAge is the age of the last load report, negative if there is none.
	ReportAge time.Duration
}

// impliedLoad returns the number of requests at the upstream that explains how long the oldest request has waited; zero if
// the wait is short. It bounds reports of an upstream that claims to be idle while requests queue there.
func (l *learnedState) impliedLoad(m learn.Means, now time.Time) float64 {
	times := l.unanswered(now) / (l.capacity.Factor(m, now) * l.capacity.Pace(m, now))
	if times < impliedLoadAbove {
		return 0
	}
	return min(times, maxImpliedLoad) * float64(l.capacity.Limit())
}

// learningState is what is learned of the upstreams together.
type learningState struct {
	// mode says for which services the capacity of upstreams is learned.
	mode     Learning
	services map[string]*serviceState
	// limitChanges holds the changes since the last call of TakeLimitChanges; at most maxLimitChanges.
	limitChanges []LimitChange
}

func newLearningState() learningState { return learningState{services: make(map[string]*serviceState)} }

// service returns the state of the service, refreshed where needed. The caller holds the lock.
func (t *Table) service(name string, now time.Time) *serviceState {
	sv, ok := t.learning.services[name]
	if !ok {
		sv = &serviceState{means: learn.NoMeans(), learns: t.learning.mode == LearnAll}
		t.learning.services[name] = sv
	}
	if t.learning.mode != LearnNone && now.Sub(sv.refreshedAt) >= refreshInterval {
		t.refresh(name, sv, now)
	}
	return sv
}

// refresh computes the means of the service, and forgets what was learned of its upstreams long ago.
func (t *Table) refresh(name string, sv *serviceState, now time.Time) {
	sv.refreshedAt = now
	sv.learns = t.learning.mode == LearnAll
	var sum learn.Means
	n := 0.0
	for _, s := range t.upstreams {
		if s.Service != name {
			continue
		}
		c := s.learned.capacity
		sv.learns = sv.learns || c.ReportsPace()
		if s.Draining {
			continue
		}
		n++
		sum.Load += c.Others(sv.means, now) / float64(max(1, s.Slots))
		sum.Pace += c.Pace(sv.means, now)
		sum.Factor += c.Factor(sv.means, now)
	}
	if !sv.learns || n == 0 {
		return
	}
	sv.means = learn.Means{Load: sum.Load / n, Pace: sum.Pace / n, Factor: sum.Factor / n}
	for _, s := range t.upstreams {
		if s.Service == name {
			s.learned.capacity = s.learned.capacity.At(now)
			t.noteLimit(s, sv, now)
		}
	}
}

// noteLimit keeps a change of the upstream's limit to be reported, if it is large enough.
func (t *Table) noteLimit(s *upstreamState, sv *serviceState, now time.Time) {
	c, before := s.learned.capacity, s.learned.reportedLimit
	if l := c.Limit(); l == before || float64(max(l-before, before-l)) < limitStep*float64(s.Slots) {
		return
	}
	s.learned.reportedLimit = c.Limit()
	if len(t.learning.limitChanges) < maxLimitChanges {
		t.learning.limitChanges = append(t.learning.limitChanges, LimitChange{
			Upstream: s.Upstream, Before: before, Now: c.Limit(), Reason: c.Reason(), Factor: c.Factor(sv.means, now),
			Pace: c.Pace(sv.means, now), ReportAge: c.ReportAge(now),
		})
	}
}

// TakeLimitChanges returns the changes of limits since the last call, at most maxLimitChanges.
func (t *Table) TakeLimitChanges() []LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.learning.limitChanges
	t.learning.limitChanges = nil
	return out
}

// learnReport learns from a load report. The caller holds the lock.
func (t *Table) learnReport(s *upstreamState, l Load, now time.Time) {
	if t.learning.mode == LearnNone {
		return
	}
	sv := t.service(s.Service, now)
	implied := s.learned.impliedLoad(sv.means, now)
	s.learned.heard()
	// Floating-point numbers, since the sum of false reports may exceed the range of integers.
	others := max(0, max(implied, float64(l.Running)+float64(l.Waiting))-float64(s.inFlight))
	s.learned.capacity = s.learned.capacity.WithReport(others, l.Pace, now)
	if l.Pace > 0 {
		sv.learns = true
	}
}

// LearnTime learns from the time of a request that has ended at an upstream, or that has not ended for that time, as a
// multiple of the typical time.
func (t *Table) LearnTime(instance string, ratio float64, ended bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[instance]
	if !ok || t.learning.mode == LearnNone {
		return
	}
	sv := t.service(s.Service, now)
	if !sv.learns {
		return
	}
	if ended {
		s.learned.capacity = s.learned.capacity.WithTime(ratio, s.inFlight, sv.means, now)
	} else {
		s.learned.capacity = s.learned.capacity.WithWait(ratio, s.inFlight, sv.means, now)
	}
}

// usage returns the requests that the upstream runs or, if that is learned, handles well, and the number at it.
func (s *upstreamState) usage(sv *serviceState, assumed float64, now time.Time) (slots int, held float64) {
	if !sv.learns {
		return s.Slots, s.load(assumed, now) * float64(s.Slots)
	}
	return s.learned.capacity.Limit(), float64(s.inFlight) + s.learned.capacity.Others(sv.means, now)
}

// LearnedUpstream is a snapshot of what was learned of one upstream.
type LearnedUpstream struct {
	Instance     string
	Slots, Limit int
	Reason       learn.Reason
	// Factor and Pace are multiples of the typical time, Load is the estimated number of requests.
	Factor, Pace, Load float64
}

// Learned returns a snapshot of the upstreams of services whose capacity is learned, in the order of their instances.
func (t *Table) Learned(now time.Time) []LearnedUpstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LearnedUpstream
	for _, s := range t.upstreams {
		sv := t.service(s.Service, now)
		if !sv.learns {
			continue
		}
		c := s.learned.capacity
		out = append(out, LearnedUpstream{
			Instance: s.Instance, Slots: s.Slots, Limit: c.Limit(), Reason: c.Reason(),
			Factor: c.Factor(sv.means, now), Pace: c.Pace(sv.means, now),
			Load: float64(s.inFlight) + c.Others(sv.means, now),
		})
	}
	slices.SortFunc(out, func(a, b LearnedUpstream) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// DataCentreAt returns the data centre of the upstream at the address.
func (t *Table) DataCentreAt(address string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.upstreams {
		if s.Address == address {
			return s.DataCentre, true
		}
	}
	return "", false
}
