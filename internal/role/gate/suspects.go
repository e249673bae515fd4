package gate

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// suspectTTL is how long a request that crashed fewer upstreams than the limit is remembered.
	suspectTTL = time.Hour
	// trialAfter is when a quarantined request may run once more, in case it was not the cause. The delay grows with
	// each further crash, to two hours and then to a day; a fourth trial would come after quarantineTTL, when the
	// request is forgotten.
	trialAfter    = 10 * time.Minute
	quarantineTTL = 7 * 24 * time.Hour
	// unansweredWindow is the longest time between an unanswered request and the detection of its upstream's crash, in
	// either order. Announcements lapse after three heartbeats of about 1.2 s, and callers wait for several seconds.
	unansweredWindow = 6 * time.Second
	// maxUnanswered bounds the unanswered requests that are remembered.
	maxUnanswered = 2000
	// maxUnpublished bounds the records that are queued for the store.
	maxUnpublished = 4096
	// sweepCrashesInterval is the time between two searches for expired records. Records younger than minSweepAge are
	// kept, since the table may not have them yet.
	sweepCrashesInterval = 30 * time.Second
	minSweepAge          = time.Minute
	// maxSuspects bounds the requests that are remembered, which take about 200 bytes each.
	maxSuspects = 10_000
)

// crashSuspects tracks requests that were running when upstreams crashed, at any gateway. The copy in the store
// survives restarts.
type crashSuspects struct {
	mu         sync.Mutex
	table      crash.Table
	unanswered *crash.UnansweredSet[roster.Start]
	// unpublished holds the records that the store has not confirmed.
	unpublished map[string]store.Record
	// dropped counts records that did not fit into unpublished since the count was last logged.
	dropped int
	// wake holds an element when there may be records to publish.
	wake chan struct{}
	// lastSweep is when expired records were last searched for.
	lastSweep time.Time
}

func newCrashSuspects() *crashSuspects {
	return &crashSuspects{
		table: crash.NewTable(suspectTTL).WithLimit(maxCrashes).WithTrials(trialAfter, quarantineTTL).
			WithMaxRecords(maxSuspects),
		unanswered:  crash.NewUnansweredSet[roster.Start](unansweredWindow, maxUnanswered),
		unpublished: make(map[string]store.Record), wake: make(chan struct{}, 1),
	}
}

// addUnanswered records a request that got no complete answer, and reports whether its upstream is already known to
// have ended.
func (s *crashSuspects) addUnanswered(st roster.Start, c crash.UnansweredRequest) (known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered.Add(st, c)
}

// upstreamEnded records the end of an upstream and returns the requests that it left unanswered.
func (s *crashSuspects) upstreamEnded(st roster.Start, now time.Time) []crash.UnansweredRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered.UpstreamEnded(st, now)
}

// addLocal records a crash that this process detected and queues it for publication. It returns how many crashes of the
// request are known, and whether this one is new.
func (s *crashSuspects) addLocal(c crash.Event) (known int, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.table.CrashIDs(c.Fingerprint, c.At), c.ID) {
		return 0, false
	}
	s.table = s.table.WithEvents([]crash.Event{c}, c.At)
	s.publish(crashRecord(c))
	return len(s.table.CrashIDs(c.Fingerprint, c.At)), true
}

// publish queues records for the store. The caller holds the lock.
func (s *crashSuspects) publish(records ...store.Record) {
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

// addRemote records crashes that other gateways detected and returns those that are new.
func (s *crashSuspects) addRemote(crashes []crash.Event, now time.Time) []crash.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(crashes), func(c crash.Event) bool {
		return slices.Contains(s.table.CrashIDs(c.Fingerprint, now), c.ID)
	})
	if len(fresh) > 0 {
		s.table = s.table.WithEvents(fresh, now)
	}
	return fresh
}

// withdraw removes crashes that no longer count.
func (s *crashSuspects) withdraw(crashes []crash.Event, now time.Time) {
	if len(crashes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = s.table.WithoutEvents(crashes, now)
}

// replaceAll replaces the table with all crashes in the store and those that are still queued for it.
func (s *crashSuspects) replaceAll(crashes []crash.Event, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.unpublished {
		if c, gone, err := parseCrash(r); err == nil && !gone {
			crashes = append(crashes, c)
		}
	}
	s.table = s.table.WithoutRecords().WithEvents(crashes, now)
}

// verdict returns how the request may run and, if it is quarantined, when it may run once more.
func (s *crashSuspects) verdict(fingerprint uint64, now time.Time) (v crash.Verdict, trialIn time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(fingerprint, now), s.table.TrialIn(fingerprint, now)
}

// crashRecords returns the records of all known crashes of a request, dated now.
func (s *crashSuspects) crashRecords(fingerprint uint64, now time.Time) []store.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Record
	for _, id := range s.table.CrashIDs(fingerprint, now) {
		out = append(out, crashRecord(crash.Event{Fingerprint: fingerprint, ID: id, At: now}))
	}
	return out
}

// recordAnswer clears the crashes of a suspect request that was answered in full, and returns how many were known.
func (s *crashSuspects) recordAnswer(fingerprint uint64, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.table.CrashIDs(fingerprint, now)
	if s.table.Verdict(fingerprint, now) != crash.Suspect {
		return len(events)
	}
	s.table = s.table.WithSuccess(fingerprint, now)
	for _, e := range events {
		s.publish(store.Record{Key: crashKey(crash.Event{Fingerprint: fingerprint, ID: e})})
	}
	return len(events)
}

// pending returns the records to publish, and how many were dropped since the last call.
func (s *crashSuspects) pending() (records []store.Record, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped, s.dropped = s.dropped, 0
	return slices.Collect(maps.Values(s.unpublished)), dropped
}

// confirmPublished removes records that the store has confirmed.
func (s *crashSuspects) confirmPublished(records []store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if string(s.unpublished[r.Key].Value) == string(r.Value) {
			delete(s.unpublished, r.Key)
		}
	}
}

// sweep withdraws the records of requests that have been forgotten.
func (s *crashSuspects) sweep(records []store.Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		c, gone, err := parseCrash(r)
		if err == nil && !gone && now.Sub(c.At) > minSweepAge && s.table.Verdict(c.Fingerprint, now) == crash.Clear {
			s.publish(store.Record{Key: r.Key})
		}
	}
}

// sweepDue reports whether it is time to search for expired records, and if so starts the next interval.
func (s *crashSuspects) sweepDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastSweep) < sweepCrashesInterval {
		return false
	}
	s.lastSweep = now
	return true
}
