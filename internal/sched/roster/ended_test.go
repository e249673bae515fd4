package roster

import (
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
