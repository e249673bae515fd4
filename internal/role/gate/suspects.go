package gate

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/poison"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// suspicionLife is how long a request that crashed fewer upstreams than the limit is remembered.
	suspicionLife = time.Hour
	// trialAfter is when a request that crashed so many may run once more, in case it was not to blame; with each further
	// crash the time grows, to two hours and to a day, so that a fourth trial falls behind convictionLife, when it is forgotten.
	trialAfter     = 10 * time.Minute
	convictionLife = 7 * 24 * time.Hour
	// caseWindow is how long before or after the end of its upstream became known a request may have been left without an
	// answer. Announcements lapse after three heartbeats of some 1.2 s, callers wait for some seconds.
	caseWindow = 6 * time.Second
	// mostCases bounds the requests without an answer that are remembered.
	mostCases = 2000
	// maxUnpublished bounds the records that wait for the store.
	maxUnpublished = 4096
	// sweepCrashesEvery is the time between two searches for records to remove. Younger records than sweepAfter stay, since
	// the table may not have them yet.
	sweepCrashesEvery = 30 * time.Second
	sweepAfter        = time.Minute
	// mostSuspects bounds the requests that are remembered, which take some 200 bytes each.
	mostSuspects = 10_000
)

// suspects remembers the requests that ran while their upstreams died, at any gateway. What stands in the store outlasts
// the processes.
type suspects struct {
	mu    sync.Mutex
	table poison.Table
	cases *poison.Cases[roster.Start]
	// unpublished holds the records that the store has not confirmed.
	unpublished map[string]store.Record
	// dropped counts records that found no room there since it was last logged.
	dropped int
	// wake has an element when there may be records to publish.
	wake chan struct{}
	// swept is when forgotten records were last searched for.
	swept time.Time
}

func newSuspects() *suspects {
	return &suspects{
		table:       poison.NewTable(suspicionLife).WithLimit(crashLimit).WithTrials(trialAfter, convictionLife).WithMost(mostSuspects),
		cases:       poison.NewCases[roster.Start](caseWindow, mostCases),
		unpublished: make(map[string]store.Record), wake: make(chan struct{}, 1),
	}
}

// unanswered takes a request that got no whole answer, and reports whether its upstream is known to have ended.
func (s *suspects) unanswered(st roster.Start, c poison.Case) (proved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cases.Add(st, c)
}

// ended takes the end of an upstream and returns the requests that it left without an answer.
func (s *suspects) ended(st roster.Start, now time.Time) []poison.Case {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cases.Ended(st, now)
}

// seen takes a crash that this process noticed, to be published. It returns how many are known of the request, and whether
// this one was not.
func (s *suspects) seen(c poison.Crash) (known int, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.table.Events(c.Fingerprint, c.At), c.Event) {
		return 0, false
	}
	s.table = s.table.With([]poison.Crash{c}, c.At)
	s.publish(crashRecord(c))
	return len(s.table.Events(c.Fingerprint, c.At)), true
}

// publish queues records for the store. The caller holds the lock.
func (s *suspects) publish(records ...store.Record) {
	for _, r := range records {
		if _, queued := s.unpublished[r.Key]; queued || len(s.unpublished) < maxUnpublished {
			s.unpublished[r.Key] = r
		} else {
			s.dropped++
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// heard takes crashes that others noticed and returns those that were not known.
func (s *suspects) heard(crashes []poison.Crash, now time.Time) []poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(crashes), func(c poison.Crash) bool {
		return slices.Contains(s.table.Events(c.Fingerprint, now), c.Event)
	})
	if len(fresh) > 0 {
		s.table = s.table.With(fresh, now)
	}
	return fresh
}

// withdrawn takes crashes that count no more.
func (s *suspects) withdrawn(crashes []poison.Crash, now time.Time) {
	if len(crashes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = s.table.Without(crashes, now)
}

// listed takes all crashes that the store holds.
func (s *suspects) listed(crashes []poison.Crash, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.unpublished {
		if c, gone, err := parseCrash(r); err == nil && !gone {
			crashes = append(crashes, c)
		}
	}
	s.table = s.table.Empty().With(crashes, now)
}

// verdict returns how the request may run, and when it may run once more if it must not now.
func (s *suspects) verdict(fingerprint uint64, now time.Time) (v poison.Verdict, trialIn time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(fingerprint, now), s.table.TrialIn(fingerprint, now)
}

// served clears a request that ran to its end, and returns how many crashes were known of it.
func (s *suspects) served(fingerprint uint64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.table.Events(fingerprint, now)
	if s.table.Verdict(fingerprint, now) != poison.Suspect {
		return len(events)
	}
	s.table = s.table.WithSuccess(fingerprint, now)
	for _, e := range events {
		s.publish(store.Record{Key: crashKey(poison.Crash{Fingerprint: fingerprint, Event: e})})
	}
	return len(events)
}

// unsent returns the records to publish, and how many were dropped since it was last asked.
func (s *suspects) unsent() (records []store.Record, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped, s.dropped = s.dropped, 0
	return slices.Collect(maps.Values(s.unpublished)), dropped
}

// published notes that the store has the records.
func (s *suspects) published(records []store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if string(s.unpublished[r.Key].Value) == string(r.Value) {
			delete(s.unpublished, r.Key)
		}
	}
}

// sweep removes records of requests that are forgotten.
func (s *suspects) sweep(records []store.Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		c, gone, err := parseCrash(r)
		if err == nil && !gone && now.Sub(c.At) > sweepAfter && s.table.Verdict(c.Fingerprint, now) == poison.Clear {
			s.publish(store.Record{Key: r.Key})
		}
	}
}

// due reports whether records should be searched for those to remove.
func (s *suspects) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) < sweepCrashesEvery {
		return false
	}
	s.swept = now
	return true
}
