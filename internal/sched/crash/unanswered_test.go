package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// start identifies a start of an upstream.
type start struct {
	instance    string
	incarnation int64
}

func TestUnansweredSet(t *testing.T) {
	const window = 6 * time.Second
	a, b, again := start{"a", 1}, start{"b", 1}, start{"a", 2}
	tests := []struct {
		name string
		// start is where the request ran, ended the upstream that ends. The end comes after the request by the
		// duration after, or before it if before is set.
		start, ended start
		after        time.Duration
		before       bool
		matched      bool
	}{
		{"its upstream ends", a, a, time.Second, false, true},
		{"its upstream had ended", a, a, time.Second, true, true},
		{"much later", a, a, window + time.Second, false, false},
		{"much earlier", a, a, window + time.Second, true, false},
		{"another upstream ends", a, b, time.Second, false, false},
		{"a later start ends", a, again, time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u, now := NewUnansweredSet[start](window, 10), time.Unix(1000, 0)
			r := UnansweredRequest{Fingerprints: []uint64{7}, Request: "r", At: now}
			if tt.before {
				is.Equal(len(u.UpstreamEnded(tt.ended, now.Add(-tt.after))), 0)
				is.Equal(u.Add(tt.start, r), tt.matched)
				return
			}
			is.Equal(u.Add(tt.start, r), false)
			got := u.UpstreamEnded(tt.ended, now.Add(tt.after))
			is.Equal(len(got) == 1, tt.matched)
			is.Equal(len(u.UpstreamEnded(tt.ended, now.Add(tt.after))), 0) // A request is returned once.
		})
	}
}

func TestUnansweredSetIsBounded(t *testing.T) {
	is := is.New(t)
	u, now := NewUnansweredSet[start](time.Minute, 3), time.Unix(1000, 0)
	for i := range 10 {
		u.Add(start{"a", 1}, UnansweredRequest{Fingerprints: []uint64{uint64(i)}, At: now})
	}
	got := u.UpstreamEnded(start{"a", 1}, now)
	is.Equal(len(got), 3)
	is.Equal(got[0].Fingerprints, []uint64{7}) // The oldest are dropped.
}
