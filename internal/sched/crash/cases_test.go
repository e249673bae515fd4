package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// start identifies a start of an upstream.
type start struct {
	instance string
	born     int64
}

func TestCases(t *testing.T) {
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
			c, now := NewUnansweredSet[start](window, 10), time.Unix(1000, 0)
			k := UnansweredRequest{Fingerprints: []uint64{7}, Request: "r", At: now}
			if tt.before {
				is.Equal(len(c.UpstreamEnded(tt.ended, now.Add(-tt.after))), 0)
				is.Equal(c.Add(tt.start, k), tt.matched)
				return
			}
			is.Equal(c.Add(tt.start, k), false)
			got := c.UpstreamEnded(tt.ended, now.Add(tt.after))
			is.Equal(len(got) == 1, tt.matched)
			is.Equal(len(c.UpstreamEnded(tt.ended, now.Add(tt.after))), 0) // A case is returned once.
		})
	}
}

func TestCasesAreBounded(t *testing.T) {
	is := is.New(t)
	c, now := NewUnansweredSet[start](time.Minute, 3), time.Unix(1000, 0)
	for i := range 10 {
		c.Add(start{"a", 1}, UnansweredRequest{Fingerprints: []uint64{uint64(i)}, At: now})
	}
	got := c.UpstreamEnded(start{"a", 1}, now)
	is.Equal(len(got), 3)
	is.Equal(got[0].Fingerprints, []uint64{7}) // The oldest are dropped.
}
