package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/sched/poison"
	"galenaward.example/galenaward/internal/state/store"
)

// crashAt is the death with the number of an upstream under request 7.
func crashAt(death byte, at time.Time) poison.Crash {
	return poison.Crash{Fingerprint: 7, Event: hex(uint64(death)), At: at}
}

func TestCrashRecords(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_123)
	tests := []struct {
		name string
		in   store.Record
		want poison.Crash
		gone bool
		ok   bool
	}{
		{"crash", crashRecord(crashAt(1, now)), crashAt(1, now), false, true},
		{"withdrawn", store.Record{Key: crashKey(crashAt(1, now))}, poison.Crash{Fingerprint: 7, Event: hex(1)}, true, true},
		{"strange key", store.Record{Key: "x", Value: []byte(`{"at_ms":1}`)}, poison.Crash{}, false, false},
		{"no death", store.Record{Key: hex(7), Value: []byte(`{"at_ms":1}`)}, poison.Crash{}, false, false},
		{"strange value", store.Record{Key: crashKey(crashAt(1, now)), Value: []byte{0}}, poison.Crash{}, false, false},
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

// TestCrashesReachTheStore guards against crashes that are forgotten on their way: published in part, read again before they
// stand in the store, or cleared in one process only.
func TestCrashesReachTheStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newSuspects()
	known, fresh := s.seen(crashAt(1, now))
	is.True(fresh)
	is.Equal(known, 1)
	_, fresh = s.seen(crashAt(1, now.Add(time.Second)))
	is.True(!fresh) // Two signs of one death.

	first, _ := s.unsent()
	is.Equal(len(first), 1)
	s.seen(crashAt(2, now))
	s.published(first)
	rest, _ := s.unsent()
	is.Equal(len(rest), 1)
	is.Equal(rest[0].Key, crashKey(crashAt(2, now)))

	s.listed([]poison.Crash{crashAt(1, now), crashAt(3, now)}, now)
	v, trial := s.verdict(7, now)
	is.Equal(v, poison.Quarantined) // The second crash counts though the store does not have it yet.
	is.Equal(trial, trialAfter)
	is.Equal(s.served(7, now), 3)
	v, _ = s.verdict(7, now)
	is.Equal(v, poison.Quarantined) // One that was under way ran well.

	later := now.Add(trialAfter + time.Second)
	is.Equal(s.served(7, later), 3)
	v, _ = s.verdict(7, later)
	is.Equal(v, poison.Clear)
	gone, _ := s.unsent()
	is.Equal(len(gone), 3)
	is.True(!slices.ContainsFunc(gone, func(r store.Record) bool { return len(r.Value) > 0 }))
}

func TestCrashesOfOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newSuspects()
	is.Equal(len(s.heard([]poison.Crash{crashAt(1, now), crashAt(2, now)}, now)), 2)
	is.Equal(len(s.heard([]poison.Crash{crashAt(2, now)}, now)), 0)
	records, _ := s.unsent()
	is.Equal(len(records), 0) // Who told of them publishes them.
	s.withdrawn([]poison.Crash{crashAt(1, now)}, now)
	v, _ := s.verdict(7, now)
	is.Equal(v, poison.Suspect)
	s.withdrawn([]poison.Crash{crashAt(2, now)}, now)
	v, _ = s.verdict(7, now)
	is.Equal(v, poison.Clear)
}

func TestSweepOfCrashes(t *testing.T) {
	tests := []struct {
		name string
		// known says that the table has the crash, age how old it is.
		known bool
		age   time.Duration
		swept bool
	}{
		{"known", true, suspicionLife / 2, false},
		{"forgotten", true, suspicionLife + time.Second, true},
		{"evicted or withdrawn", false, sweepAfter + time.Second, true},
		{"not taken yet", false, sweepAfter / 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s, c := newSuspects(), crashAt(1, now.Add(-tt.age))
			if tt.known {
				s.heard([]poison.Crash{c}, c.At)
			}
			s.sweep([]store.Record{crashRecord(c), {Key: "strange", Value: []byte("x")}}, now)
			out, _ := s.unsent()
			is.Equal(len(out) == 1, tt.swept)
		})
	}
}

// TestUnpublishedCrashesAreBounded is the pattern of crashes without end while the store is away.
func TestUnpublishedCrashesAreBounded(t *testing.T) {
	is := is.New(t)
	s, now := newSuspects(), time.Unix(1_700_000_000, 0)
	for i := range uint64(maxUnpublished + 100) {
		s.mu.Lock()
		s.publish(crashRecord(poison.Crash{Fingerprint: i, Event: hex(i), At: now}))
		s.mu.Unlock()
	}
	records, dropped := s.unsent()
	is.Equal(len(records), maxUnpublished)
	is.Equal(dropped, 100)
	_, dropped = s.unsent()
	is.Equal(dropped, 0)
}
