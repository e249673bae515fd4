// Package roster knows the upstreams of each service, as they announced themselves and as requests found them, and
// chooses one for a request.
package roster

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream is what an upstream announces of itself.
type Upstream struct {
	// Instance is new at each start of the upstream, with rare exceptions; Born tells starts apart in any case.
	Instance string
	Born     int64
	Address  string
	Service  string
	// DataCentre is where the upstream runs.
	DataCentre string
	// Slots is the requests that it runs at once; at least 1.
	Slots int
	// Draining upstreams take no new work.
	Draining bool
}

// Load is what an upstream tells of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome says how an exchange with an upstream ended.
type Outcome int

const (
	// Answered means that a whole answer arrived.
	Answered Outcome = iota
	// Unreachable means that no connection could be made.
	Unreachable
	// Rejected means that the upstream refused to run the request.
	Rejected
	// Broken means that the answer did not arrive whole.
	Broken
	// Failed means that a whole answer arrived which says that the upstream failed.
	Failed
	// Abandoned means that this side ended the exchange.
	Abandoned
	// Misdirected means that another instance has the address.
	Misdirected
)

const (
	// unreachablePause is how long an upstream is left alone after a connection failed.
	unreachablePause = 400 * time.Millisecond
	// maxPause bounds the pause after failures in a row; an entry of a dead upstream is gone after a few seconds.
	maxPause = 3 * time.Second
	// fullPause is how long an upstream that was full is left alone.
	fullPause = 60 * time.Millisecond
	// brokenPause is how long an upstream is left alone after a broken answer.
	brokenPause = 100 * time.Millisecond
	// leavingLife is how long after its last answer an upstream that leaves is remembered; it ends within seconds.
	leavingLife = 10 * time.Minute
	// loadLife is how long a load report counts; upstreams report with each answer.
	loadLife = time.Second
	// farPenalty is the load per slot that an upstream in another data centre must be below a near one.
	farPenalty = 0.25
	// sharedShare is the part of the engines at which a shared part of prompts should be cached, so that not all of them
	// read it and keep it in memory.
	sharedShare = 1.0 / 3
	// sharedBonus is the load per slot, for each token of the shared part, that another engine must be below such a one.
	// An engine reads a token in some 10 µs, while other requests wait.
	sharedBonus = 1.6e-5
	// maxSharedBonus bounds it below what an engine in another data centre costs.
	maxSharedBonus = 0.2
	// jitter is the load per slot within which the choice is random, so that entries do not all choose the same.
	jitter = 0.04
)

// state is an upstream with what requests found out.
type state struct {
	Upstream
	// own is the number of this process's exchanges under way.
	own int
	// others is the estimated number of requests of other processes there, as of heard.
	others int
	heard  time.Time
	// failures counts failed exchanges in a row.
	failures int
	// avoid is when the upstream may be chosen again.
	avoid time.Time
	slow  slowness
	// failing is the share of answers that were failures.
	failing fading
	// toldSlow and toldFailing say that the upstream was last told of as such.
	toldSlow, toldFailing bool
	// answers says that the upstream takes requests although the last answer was broken: it is chosen rather than none.
	answers bool
	// missing is when the announcement vanished during an outage of the store; zero if it stands.
	missing time.Time
}

// Table holds the upstreams. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	m  map[string]*state
	// settled is when vanished announcements count again after an outage of the store.
	settled time.Time
	// leaving holds the upstreams that said themselves that they leave, and when. It outlasts their announcements, which
	// may be older.
	leaving map[Start]time.Time
	// ended holds the upstreams that ended without a word since Ended was last called.
	ended []Upstream
}

// Start names one start of an upstream.
type Start struct {
	Instance string
	Born     int64
}

// Start returns the start that the announcement is of.
func (u Upstream) Start() Start { return Start{u.Instance, u.Born} }

// New returns an empty table.
func New() *Table { return &Table{m: make(map[string]*state), leaving: make(map[Start]time.Time)} }

// Leaving takes an upstream's own word that it leaves, which holds until it ends. It reports whether that is new.
func (t *Table) Leaving(instance string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[instance]
	if !ok {
		return false
	}
	key := s.Start()
	_, known := t.leaving[key]
	t.leaving[key] = now
	s.Draining = true
	return !known
}

// Ended returns the upstreams that ended without having said that they leave, since the last call.
func (t *Table) Ended() []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.ended
	t.ended = nil
	return out
}

// end notes that an upstream is gone. The caller holds the lock.
func (t *Table) end(s *state) {
	if !s.Draining {
		t.ended = append(t.ended, s.Upstream)
	}
}

// Hold keeps upstreams whose announcements vanish until the time given.
func (t *Table) Hold(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = until
}

// Update takes the newest announcement of an upstream. It returns the address of an earlier start that is gone, and
// whether the upstream begins to drain.
func (t *Table) Update(u Upstream) (gone string, drains bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[u.Instance]
	if !ok || s.Born != u.Born || s.Address != u.Address {
		if ok {
			gone = s.Address
			t.end(s)
		}
		s = &state{}
		t.m[u.Instance] = s
	}
	_, leaving := t.leaving[u.Start()]
	u.Draining = u.Draining || leaving
	drains = u.Draining && !s.Draining
	s.Upstream = u
	s.missing = time.Time{}
	return gone, drains
}

// Remove takes the end of an announcement and returns the address if the upstream is gone.
func (t *Table) Remove(instance string, now time.Time) (gone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[instance]
	if !ok {
		return ""
	}
	if now.Before(t.settled) {
		s.missing = now
		return ""
	}
	delete(t.m, instance)
	t.end(s)
	return s.Address
}

// Replace takes a whole list: upstreams that are not in it are removed.
func (t *Table) Replace(list []Upstream, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Instance] = true
		t.Update(u)
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
	return slices.Collect(maps.Keys(t.m))
}

// Settle removes upstreams that vanished during an outage and did not come back.
func (t *Table) Settle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.settled) {
		return
	}
	maps.DeleteFunc(t.leaving, func(_ Start, at time.Time) bool { return now.Sub(at) > leavingLife })
	maps.DeleteFunc(t.m, func(_ string, s *state) bool {
		if !s.missing.IsZero() {
			t.end(s)
		}
		return !s.missing.IsZero()
	})
}

// Want says what an upstream is chosen for.
type Want struct {
	Service string
	// DataCentre is where the caller's process runs.
	DataCentre string
	// Warm is the instance that holds the program's cache; empty for none.
	Warm string
	// WarmBonus is the requests per slot that another one must be less loaded to be chosen before Warm.
	WarmBonus float64
	// Shared is the part of the prompt that many programs share, SharedTokens its size; empty for none.
	Shared       string
	SharedTokens int64
	// Skip are instances that were tried before.
	Skip []string
}

// Pick chooses an upstream and counts the exchange; Done must follow. It returns false if there is none that is
// known to be up.
func (t *Table) Pick(w Want, now time.Time) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.best(w, now, false)
	if best == nil {
		best = t.best(w, now, true)
	}
	if best == nil {
		return Upstream{}, false
	}
	best.own++
	return best.Upstream, true
}

// best returns the upstream with the lowest score; those that gave broken answers lately count only if asked for.
func (t *Table) best(w Want, now time.Time, broken bool) *state {
	var best *state
	var bestScore float64
	for _, s := range t.m {
		if s.Service != w.Service || s.Draining || slices.Contains(w.Skip, s.Instance) {
			continue
		}
		if now.Before(s.avoid) && !(broken && s.answers) {
			continue
		}
		// The time to expect: that of the request itself and of those before it.
		score := (1+s.load(now))*s.slow.factor(now) - 1 + jitter*rand.Float64()
		score += s.penalty(now)
		if s.DataCentre != w.DataCentre {
			score += farPenalty
		}
		if s.Instance == w.Warm {
			score -= w.WarmBonus
		}
		if w.Shared != "" && s.keeps(w.Shared) {
			score -= min(maxSharedBonus, sharedBonus*float64(w.SharedTokens))
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// keeps reports whether the engine is one of those at which the shared part of prompts should be cached. All processes
// agree on it without a word.
func (s *state) keeps(part string) bool {
	return float64(xxhash.Sum64String(part+"\x00"+s.Instance)) < sharedShare*math.MaxUint64
}

// load is the requests per slot.
func (s *state) load(now time.Time) float64 {
	n := s.own
	if now.Sub(s.heard) < loadLife {
		n += s.others
	}
	return float64(n) / float64(max(1, s.Slots))
}

// Heard takes a load report that came with an answer.
func (t *Table) Heard(instance string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.m[instance]; ok {
		s.others, s.heard = max(0, l.Running+l.Waiting-s.own), now
	}
}

// Done ends an exchange that Pick began. It returns a change of belief worth telling, or false.
func (t *Table) Done(instance string, o Outcome, now time.Time) (c Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[instance]
	if !ok {
		return Change{}, false
	}
	s.own = max(0, s.own-1)
	s.answers = o == Answered || o == Failed || o == Broken || (o == Abandoned && s.answers)
	switch o {
	case Answered, Failed:
		s.failures = 0
		c, changed = s.answered(o == Failed, now)
	case Abandoned:
	case Unreachable:
		s.failures++
		s.avoid = now.Add(min(maxPause, unreachablePause<<min(s.failures-1, 4)))
	case Rejected:
		s.avoid = now.Add(fullPause)
	case Broken:
		s.failures++
		s.avoid = now.Add(min(maxPause, brokenPause<<min(s.failures-1, 5)))
		c, changed = s.answered(true, now)
	case Misdirected:
		delete(t.m, instance)
		t.end(s)
	}
	return c, changed
}

// Census returns the slots of the upstreams of a service that take work, and the requests that they hold.
func (t *Table) Census(service string, now time.Time) (slots int, held float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.m {
		if s.Service != service || s.Draining {
			continue
		}
		slots += s.Slots
		held += s.load(now) * float64(s.Slots)
	}
	return slots, held
}

// Len returns the number of upstreams.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.m)
}
