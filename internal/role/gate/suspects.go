package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/poison"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// suspicionLife is how long a request that crashed fewer upstreams than the limit is remembered.
	suspicionLife = time.Hour
	// trialAfter is when a request that crashed so many may run once more, in case it was not to blame; with each further
	// crash the time grows, so that it runs three more times within some days. convictionLife is how long it is remembered.
	trialAfter     = time.Hour
	convictionLife = 7 * 24 * time.Hour
	// caseWindow is how long before or after the end of its upstream became known a request may have been left without an
	// answer. Announcements lapse after three heartbeats of some 1.2 s, callers wait for some seconds.
	caseWindow = 6 * time.Second
	// mostCases bounds the requests without an answer that are remembered.
	mostCases = 2000
	// crashesWait is how long one reading of the crashes waits for the first. A connection that has gone silent is noticed
	// only after it.
	crashesWait = 2 * time.Second
	// crashesPause is the time between two readings. An upstream that dies makes several records, and all gateways must know
	// within some seconds.
	crashesPause = 500 * time.Millisecond
	// publishTimeout bounds one try to publish crashes, publishPause is the time between two.
	publishTimeout = 600 * time.Millisecond
	publishPause   = 300 * time.Millisecond
	// maxUnpublished bounds the records that wait for the store.
	maxUnpublished = 4096
	// sweepCrashesEvery is the time between two searches for records to remove, sweepPartition the one whose holder searches.
	// Younger records than sweepAfter stay, since the table may not have them yet.
	sweepCrashesEvery = 30 * time.Second
	sweepAfter        = time.Minute
	sweepPartition    = 0
	// mostSuspects bounds the requests that are remembered, which take some 200 bytes each.
	mostSuspects = 10_000
	// heardLines is the most log lines about crashes that are heard of at once.
	heardLines = 8
)

var errCrashRecord = errors.New("not a record of a crash")

// suspects remembers the requests that ran while their upstreams died, at any gateway. What stands in the store outlasts
// the processes.
type suspects struct {
	mu    sync.Mutex
	table poison.Table
	cases *poison.Cases
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
		cases:       poison.NewCases(caseWindow, mostCases),
		unpublished: make(map[string]store.Record), wake: make(chan struct{}, 1),
	}
}

// deathOf returns the id of the end of an upstream's start.
func deathOf(u roster.Upstream) string {
	return hex(xxhash.Sum64String(u.Instance + "/" + strconv.FormatInt(u.Born, 10)))
}

func hex(n uint64) string { return fmt.Sprintf("%016x", n) }

// crashValue is the form of a crash in the store, under the fingerprint and the id of the death.
type crashValue struct {
	// AtMS is the Unix millisecond of the crash.
	AtMS int64 `json:"at_ms"`
}

func crashKey(c poison.Crash) string { return hex(c.Fingerprint) + "/" + c.Event }

func crashRecord(c poison.Crash) store.Record {
	v, err := json.Marshal(crashValue{c.At.UnixMilli()})
	if err != nil {
		panic(err) // A struct of an integer.
	}
	return store.Record{Key: crashKey(c), Value: v}
}

// parseCrash reads a record. Gone means that the crash counts no more.
func parseCrash(r store.Record) (c poison.Crash, gone bool, err error) {
	fingerprint, event, _ := strings.Cut(r.Key, "/")
	if c.Fingerprint, err = strconv.ParseUint(fingerprint, 16, 64); err != nil || event == "" {
		return c, false, errors.Wrapf(errCrashRecord, "key %q", r.Key)
	}
	c.Event = event
	if len(r.Value) == 0 {
		return c, true, nil
	}
	var v crashValue
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return c, false, errors.Wrapf(err, "key %q", r.Key)
	}
	c.At = time.UnixMilli(v.AtMS)
	return c, false, nil
}

// crashNotice tells a peer what the store does not take at the moment.
type crashNotice struct {
	Records []store.Record `json:"records"`
}

// unanswered takes a request that got no whole answer, and reports whether its upstream is known to have ended.
func (s *suspects) unanswered(st poison.Start, c poison.Case) (proved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cases.Add(st, c)
}

// ended takes the end of an upstream and returns the requests that it left without an answer.
func (s *suspects) ended(st poison.Start, now time.Time) []poison.Case {
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

// takeCrashes takes what others noticed.
func (g *Gate) takeCrashes(records []store.Record, source string) {
	crashes, gone := g.parseCrashes(records)
	now := time.Now()
	for i, c := range g.suspects.heard(crashes, now) {
		if i == heardLines {
			g.note("crashes_heard", "records", len(crashes), "source", source)
			break
		}
		g.note("crash_heard", "fingerprint", hex(c.Fingerprint), "death", c.Event, "source", source,
			"age_ms", now.Sub(c.At).Milliseconds())
	}
	g.suspects.withdrawn(gone, now)
}

// followCrashes keeps what all gateways know of requests that crash upstreams.
func (g *Gate) followCrashes(ctx context.Context) error {
	f := follower{
		gate: g, feed: store.Crashes, wait: crashesWait, pause: crashesPause, whole: g.replaceCrashes,
		part: func(b store.Batch) { g.takeCrashes(b.Records, "store") },
	}
	return f.run(ctx)
}

func (g *Gate) replaceCrashes(b store.Batch) {
	crashes, _ := g.parseCrashes(b.Records)
	g.suspects.listed(crashes, time.Now())
	g.note("crashes_listed", "count", len(crashes))
}

func (g *Gate) parseCrashes(records []store.Record) (crashes, gone []poison.Crash) {
	for _, r := range records {
		c, ended, err := parseCrash(r)
		switch {
		case err != nil:
			g.note("crash_record_skipped", "key", r.Key, "cause", err)
		case ended:
			gone = append(gone, c)
		default:
			crashes = append(crashes, c)
		}
	}
	return crashes, gone
}

// publishCrashes puts into the store what this process noticed, until the store has it. Peers are told meanwhile.
func (g *Gate) publishCrashes(ctx context.Context) error {
	told := make(map[string]bool)
	for {
		records, dropped := g.suspects.unsent()
		if dropped > 0 {
			g.note("crashes_dropped", "records", dropped)
		}
		if len(records) == 0 {
			select {
			case <-g.suspects.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		pctx, cancel := context.WithTimeout(ctx, publishTimeout)
		err := g.store.Publish(pctx, store.Crashes, records)
		cancel()
		if err == nil {
			g.suspects.published(records)
			clear(told)
			continue
		}
		if news := slices.DeleteFunc(records, func(r store.Record) bool { return told[r.Key] }); len(news) > 0 {
			for _, r := range news {
				told[r.Key] = true
			}
			g.note("crashes_unpublished", "records", len(news), "peers", len(g.owner.Peers()), "cause", err)
			if err := tell(ctx, g, crashPath, crashNotice{news}); err != nil {
				g.note("crash_not_told", "records", len(news), "cause", err)
			}
		}
		select {
		case <-time.After(publishPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// sweepCrashes removes forgotten records from the store, at one gateway.
func (g *Gate) sweepCrashes(now time.Time) {
	if _, ok := g.owner.Held(sweepPartition); !ok || !g.suspects.due(now) {
		return
	}
	if b, ok := g.recall.snapshot(store.Crashes); ok {
		g.suspects.sweep(b.Records, now)
	}
}
