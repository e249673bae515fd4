package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUpstreamThatClosesAfterThePickIsNotAccepted guards against requests that are sent late to an upstream that began to
// drain or left, or whose data centre was evacuated, after it was picked.
func TestUpstreamThatClosesAfterThePickIsNotAccepted(t *testing.T) {
	draining := testUpstream("x")
	draining.Draining = true
	again := testUpstream("x")
	again.Incarnation++
	tests := []struct {
		name    string
		change  func(*Table)
		accepts bool
	}{
		{"unchanged", func(*Table) {}, true},
		{"drains", func(tb *Table) { tb.Update(draining) }, false},
		{"says that it leaves", func(tb *Table) { tb.MarkLeaving(testUpstream("x").Start(), now) }, false},
		{"data centre evacuated", func(tb *Table) {
			tb.SetEvacuations(Evacuations{}.WithSnapshot([]EvacuationRecord{{DataCentre: "a", Evacuated: true}}, 1))
		}, false},
		{"another data centre evacuated", func(tb *Table) {
			tb.SetEvacuations(Evacuations{}.WithSnapshot([]EvacuationRecord{{DataCentre: "b", Evacuated: true}}, 1))
		}, true},
		{"announcement gone", func(tb *Table) { tb.Remove("x", now) }, false},
		{"announcement lapsed in an outage of the store", func(tb *Table) {
			tb.HoldUntil(now.Add(time.Second))
			tb.Remove("x", now)
		}, true},
		{"restarted", func(tb *Table) { tb.Update(again) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New()
			tb.Update(testUpstream("x"))
			u, ok := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, now)
			is.True(ok)
			tt.change(tb)
			is.Equal(tb.Accepts(u.Start()), tt.accepts)
		})
	}
}
