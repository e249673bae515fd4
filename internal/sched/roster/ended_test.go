package roster

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndedUpstreamsAreReported guards against crashes that are not counted because the end of the upstream goes
// unnoticed.
func TestEndedUpstreamsAreReported(t *testing.T) {
	again := testUpstream("x")
	again.Incarnation = testUpstream("x").Incarnation + 1
	tests := []struct {
		name string
		do   func(tb *Table)
		ends int
	}{
		{"announced again", func(tb *Table) { tb.Update(testUpstream("x")) }, 0},
		{"announcement gone", func(tb *Table) { tb.Remove("x", now) }, 1},
		{"not in the list", func(tb *Table) { tb.Replace(nil, now) }, 1},
		{"restarted under the same name", func(tb *Table) { tb.Update(again) }, 1},
		{"another instance answers", func(tb *Table) { tb.Done("x", Misdirected, now) }, 1},
		{"gone after it drained", func(tb *Table) {
			tb.MarkLeaving(testUpstream("x").Start(), now)
			tb.Remove("x", now)
		}, 0},
		{"missing in an outage and back", func(tb *Table) {
			tb.HoldUntil(now.Add(time.Second))
			tb.Remove("x", now)
			tb.Update(testUpstream("x"))
			tb.ExpireMissing(now.Add(2 * time.Second))
		}, 0},
		{"missing in an outage and not back", func(tb *Table) {
			tb.HoldUntil(now.Add(time.Second))
			tb.Remove("x", now)
			tb.ExpireMissing(now.Add(2 * time.Second))
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New()
			tb.Update(testUpstream("x"))
			tt.do(tb)
			got := tb.TakeEnded()
			is.Equal(len(got), tt.ends)
			for _, u := range got {
				is.Equal(u, testUpstream("x"))
			}
			is.Equal(len(tb.TakeEnded()), 0)
		})
	}
}

// TestUpstreamThatLeavesAfterAnOutageGetsNoRequests guards against requests to an upstream whose announcement is removed
// since it leaves, right after an outage that concerned this process only: its end was taken for a lapse of the outage.
func TestUpstreamThatLeavesAfterAnOutageGetsNoRequests(t *testing.T) {
	tests := []struct {
		name string
		// listed upstreams were announced, and the announcements of missing ones vanished after the outage.
		listed, missing int
		// used says that those are still picked.
		used bool
	}{
		{"one of eight leaves", 8, 1, false},
		{"two of eight leave", 8, 2, false},
		{"three of eight lapsed", 8, 3, true},
		{"all lapsed", 4, 4, true},
		{"the only one lapsed", 1, 1, true},
		{"one of two lapsed", 2, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New()
			for i := range tt.listed {
				u := testUpstream(strconv.Itoa(i))
				tb.Update(u)
			}
			tb.HoldUntil(now.Add(2 * time.Second))
			gone := make(map[string]bool)
			for i := range tt.missing {
				gone[strconv.Itoa(i)] = true
				tb.Remove(strconv.Itoa(i), now)
			}
			picked, other := 0, 0
			for range 400 {
				u, ok := tb.Pick(Criteria{Service: testUpstream("0").Service}, now)
				is.True(ok)
				if gone[u.Instance] {
					picked++
				} else {
					other++
				}
				tb.Done(u.Instance, Answered, now)
			}
			t.Logf("%d requests to upstreams that are missing, %d to others", picked, other)
			is.Equal(picked > 0, tt.used)
		})
	}
}
