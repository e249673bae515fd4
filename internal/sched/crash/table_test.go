package crash

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRepeatedlyCrashingRequestStaysQuarantined guards against more retries than allowed: a request that crashes its
// upstreams is retried at most three times (rule BUDGET), even if it is sent again and again. Such a request used to be
// forgotten half a minute after its last crash.
func TestRepeatedlyCrashingRequestStaysQuarantined(t *testing.T) {
	is := is.New(t)
	tab := NewTable(time.Hour).WithLimit(3).WithTrials(10*time.Minute, 7*24*time.Hour)
	now := time.Unix(1000, 0)
	crashes := 0
	for range 7 * 24 * 60 * 12 { // Every five seconds for a week.
		if tab.Verdict(1, now) != Quarantined {
			crashes++
			tab = tab.WithCrash([]uint64{1}, now.String(), now)
		}
		now = now.Add(5 * time.Second)
	}
	is.True(crashes >= 3)
	is.True(crashes <= 3+3)
}

func TestVerdict(t *testing.T) {
	tests := []struct {
		name    string
		crashes int
		// success is how long after its last crash the request completed; zero for never.
		success time.Duration
		after   time.Duration
		want    Verdict
		trial   time.Duration
	}{
		{"never crashed", 0, 0, 0, Clear, 0},
		{"below the limit", 2, 0, 9 * time.Minute, Suspect, 0},
		{"below the limit, forgotten", 2, 0, 11 * time.Minute, Clear, 0},
		{"below the limit, completed", 2, time.Second, time.Minute, Clear, 0},
		{"at the limit", 3, 0, 59 * time.Minute, Quarantined, time.Minute},
		{"at the limit, an attempt already running completed", 3, time.Second, time.Minute, Quarantined, 59 * time.Minute},
		{"trial", 3, 0, 61 * time.Minute, Suspect, 0},
		{"trial that completed", 3, 61 * time.Minute, 62 * time.Minute, Clear, 0},
		{"trial that crashed", 4, 0, 11 * time.Hour, Quarantined, time.Hour},
		{"second trial", 4, 0, 13 * time.Hour, Suspect, 0},
		{"forgotten", 4, 0, 49 * time.Hour, Clear, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tab := NewTable(10*time.Minute).WithLimit(3).WithTrials(time.Hour, 48*time.Hour)
			now := time.Unix(1000, 0)
			for i := range tt.crashes {
				tab = tab.WithCrash([]uint64{1, 2}, strconv.Itoa(i), now)
				tab = tab.WithCrash([]uint64{1}, strconv.Itoa(i), now) // Equal events count once.
			}
			if tt.success > 0 {
				tab = tab.WithSuccess(1, now.Add(tt.success))
			}
			is.Equal(tab.Verdict(1, now.Add(tt.after)), tt.want)
			is.Equal(tab.TrialIn(1, now.Add(tt.after)), tt.trial)
			is.Equal(len(tab.CrashIDs(2, now)), tt.crashes) // The success clears no other request.
		})
	}
}

// TestTableIsBounded covers a service whose upstreams keep crashing while they run ever new requests.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	tab, now := NewTable(time.Hour).WithLimit(2).WithMaxRecords(100), time.Unix(1000, 0)
	for _, event := range []string{"a", "b"} {
		tab = tab.WithCrash([]uint64{7}, event, now)
	}
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		tab = tab.WithCrash([]uint64{uint64(100 + i)}, "c", now)
		is.True(tab.Len() <= 100)
	}
	is.Equal(tab.Verdict(7, now), Quarantined)
	is.Equal(tab.Verdict(100+9_999, now), Suspect)
	is.Equal(tab.Verdict(100, now), Clear)
}
