package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/state/store"
)

// crashAt returns a crash of request 7 with the given number as its event.
func crashAt(event byte, at time.Time) crash.Event {
	return crash.Event{Fingerprint: 7, ID: hex(uint64(event)), At: at}
}

func TestParseCrash(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_123)
	tests := []struct {
		name string
		in   store.Record
		want crash.Event
		gone bool
		ok   bool
	}{
		{"crash", crashRecord(crashAt(1, now)), crashAt(1, now), false, true},
		{"withdrawn", store.Record{Key: crashKey(crashAt(1, now))}, crash.Event{Fingerprint: 7, ID: hex(1)}, true, true},
		{"malformed key", store.Record{Key: "x", Value: []byte(`{"at_ms":1}`)}, crash.Event{}, false, false},
		{"no event", store.Record{Key: hex(7), Value: []byte(`{"at_ms":1}`)}, crash.Event{}, false, false},
		{"malformed value", store.Record{Key: crashKey(crashAt(1, now)), Value: []byte{0}}, crash.Event{}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, gone, err := parseCrash(tt.in)
			is.Equal(err == nil, tt.ok)
			if tt.ok {
				is.Equal(got, tt.want)
				is.Equal(gone, tt.gone)
			}
		})
	}
}

// TestCrashesStayUntilPublished guards against losing crashes before all processes know of them: when only some are
// published, when a snapshot is read before they are stored, or when they are cleared in one process only.
func TestCrashesStayUntilPublished(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newCrashSuspects()
	known, fresh := s.addLocal(crashAt(1, now))
	is.True(fresh)
	is.Equal(known, 1)
	_, fresh = s.addLocal(crashAt(1, now.Add(time.Second)))
	is.True(!fresh) // The same crash, detected twice.

	first, _ := s.pending()
	is.Equal(len(first), 1)
	s.addLocal(crashAt(2, now))
	s.confirmPublished(first)
	rest, _ := s.pending()
	is.Equal(len(rest), 1)
	is.Equal(rest[0].Key, crashKey(crashAt(2, now)))

	s.replaceAll([]crash.Event{crashAt(1, now), crashAt(3, now)}, now)
	v, trial := s.verdict(7, now)
	is.Equal(v, crash.Quarantined) // The second crash counts although it is not in the store yet.
	is.Equal(trial, trialAfter)
	is.Equal(s.recordAnswer(7, now), 3)
	v, _ = s.verdict(7, now)
	is.Equal(v, crash.Quarantined) // A request that was already running succeeded.

	later := now.Add(trialAfter + time.Second)
	is.Equal(s.recordAnswer(7, later), 3)
	v, _ = s.verdict(7, later)
	is.Equal(v, crash.Clear)
	gone, _ := s.pending()
	is.Equal(len(gone), 3)
	is.True(!slices.ContainsFunc(gone, func(r store.Record) bool { return len(r.Value) > 0 }))
}

func TestRemoteCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newCrashSuspects()
	is.Equal(len(s.addRemote([]crash.Event{crashAt(1, now), crashAt(2, now)}, now)), 2)
	is.Equal(len(s.addRemote([]crash.Event{crashAt(2, now)}, now)), 0)
	records, _ := s.pending()
	is.Equal(len(records), 0) // The gateway that detected them publishes them.
	s.withdraw([]crash.Event{crashAt(1, now)}, now)
	v, _ := s.verdict(7, now)
	is.Equal(v, crash.Suspect)
	s.withdraw([]crash.Event{crashAt(2, now)}, now)
	v, _ = s.verdict(7, now)
	is.Equal(v, crash.Clear)
}

func TestSweepCrashes(t *testing.T) {
	tests := []struct {
		name string
		// known means that the table has the crash, age is the age of the crash.
		known bool
		age   time.Duration
		swept bool
	}{
		{"known", true, suspectTTL / 2, false},
		{"forgotten", true, suspectTTL + time.Second, true},
		{"evicted or withdrawn", false, minSweepAge + time.Second, true},
		{"not applied yet", false, minSweepAge / 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s, c := newCrashSuspects(), crashAt(1, now.Add(-tt.age))
			if tt.known {
				s.addRemote([]crash.Event{c}, c.At)
			}
			s.sweep([]store.Record{crashRecord(c), {Key: "strange", Value: []byte("x")}}, now)
			out, _ := s.pending()
			is.Equal(len(out) == 1, tt.swept)
		})
	}
}

// TestUnpublishedCrashesAreBounded guards against unbounded memory use when crashes continue while the store is
// unavailable.
func TestUnpublishedCrashesAreBounded(t *testing.T) {
	is := is.New(t)
	s, now := newCrashSuspects(), time.Unix(1_700_000_000, 0)
	for i := range uint64(maxUnpublished + 100) {
		s.mu.Lock()
		s.publish(crashRecord(crash.Event{Fingerprint: i, ID: hex(i), At: now}))
		s.mu.Unlock()
	}
	records, dropped := s.pending()
	is.Equal(len(records), maxUnpublished)
	is.Equal(dropped, 100)
	_, dropped = s.pending()
	is.Equal(dropped, 0)
}

// TestNoticeCarriesAllCrashesOfARequest guards against one crash too many at a gateway that reads the feed of the store
// late: what a peer sends it directly must suffice to quarantine the request.
func TestNoticeCarriesAllCrashesOfARequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s, peer := newCrashSuspects(), newCrashSuspects()
	for i := range maxCrashes {
		s.addLocal(crashAt(byte(i+1), now))
	}
	var heard []crash.Event
	for _, r := range s.crashRecords(7, now) {
		c, gone, err := parseCrash(r)
		is.NoErr(err)
		is.True(!gone)
		heard = append(heard, c)
	}
	is.Equal(len(peer.addRemote(heard, now)), maxCrashes)
	v, _ := peer.verdict(7, now)
	is.Equal(v, crash.Quarantined)
}
