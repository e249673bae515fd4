package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func evacuate(dataCentres ...string) []EvacuationRecord {
	var out []EvacuationRecord
	for _, dc := range dataCentres {
		out = append(out, EvacuationRecord{DataCentre: dc, Evacuated: true})
	}
	return out
}

func release(dataCentre string) []EvacuationRecord {
	return []EvacuationRecord{{DataCentre: dataCentre}}
}

// evacuationTable returns a table with two upstreams in each of the data centres a, b and c, with ten slots each.
func evacuationTable() *Table {
	tb := New()
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 2 {
			u := testUpstream(fmt.Sprint(dc, i))
			u.DataCentre = dc
			tb.Update(u)
		}
	}
	return tb
}

// TestEvacuatedUpstreamsGetNoRequests guards against requests to an upstream in an evacuated data centre, also where it is
// the one that caches a prompt or the only one left, and against evacuations that overlap ending each other.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	tests := []struct {
		name string
		set  Evacuations
		// reached lists the data centres that get requests.
		reached string
	}{
		{"none", Evacuations{}, "abc"},
		{"one", Evacuations{}.WithRecords(evacuate("b"), 1), "ac"},
		{"two at the same time", Evacuations{}.WithRecords(evacuate("b"), 1).WithRecords(evacuate("a"), 2), "c"},
		{"the first of two ends", Evacuations{}.WithRecords(evacuate("b", "a"), 2).WithRecords(release("b"), 3), "bc"},
		{"repeated while in force", Evacuations{}.WithRecords(evacuate("b", "b"), 2).WithRecords(release("b"), 3), "abc"},
		{"begins again", Evacuations{}.WithRecords(evacuate("b"), 1).WithRecords(release("b"), 2).WithRecords(evacuate("b"), 3), "ac"},
		{"all", Evacuations{}.WithSnapshot(evacuate("a", "b", "c"), 9), ""},
		{"a data centre without upstreams", Evacuations{}.WithSnapshot(evacuate("x"), 9), "abc"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := evacuationTable()
			tb.SetEvacuations(tt.set)
			reached := make(map[string]bool)
			for range 200 { // More than the slots, so that every upstream that may be picked is.
				u, ok := tb.Pick(Criteria{Service: "s", DataCentre: "b", CachedOn: "b0", CacheBonus: 1.2}, now)
				is.Equal(ok, tt.reached != "")
				reached[u.DataCentre] = true
			}
			for _, dc := range []string{"a", "b", "c"} {
				wanted := false
				for _, r := range tt.reached {
					wanted = wanted || string(r) == dc
				}
				is.Equal(reached[dc], wanted)
			}
			slots, _ := tb.Usage(UsageQuery{Service: "s"}, now)
			is.Equal(slots, 20*len(tt.reached))
		})
	}
}

// TestUpstreamThatStartsDuringAnEvacuation guards against requests to an upstream that is announced, or starts anew, in a
// data centre that is evacuated already, and to one that is left as the last resort after incomplete answers.
func TestUpstreamThatStartsDuringAnEvacuation(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.SetEvacuations(Evacuations{}.WithRecords(evacuate("a"), 1))
	tb.Update(testUpstream("x"))
	_, ok := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, now)
	is.True(!ok)
	again := testUpstream("x")
	again.Incarnation++
	tb.Update(again)
	tb.Done("x", Broken, now)
	_, ok = tb.Pick(Criteria{Service: "s", DataCentre: "a"}, now)
	is.True(!ok)
}

// TestExchangesContinueDuringAnEvacuation checks that the requests that run in a data centre when it is evacuated end as
// usual, and that its upstreams get requests again afterwards with their load known.
func TestExchangesContinueDuringAnEvacuation(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(testUpstream("x"))
	for range 2 {
		_, ok := tb.Pick(Criteria{Service: "s"}, now)
		is.True(ok)
	}
	set := Evacuations{}.WithRecords(evacuate("a"), 1)
	is.Equal(tb.SetEvacuations(set), []EvacuationChange{{DataCentre: "a", Evacuated: true, Upstreams: 1}})
	is.Equal(len(tb.SetEvacuations(set)), 0)
	is.Equal(tb.EvacuatedUpstreams(), 1)
	tb.Done("x", Answered, now)
	is.Equal(tb.SetEvacuations(set.WithRecords(release("a"), 2)), []EvacuationChange{{DataCentre: "a", Upstreams: 1}})
	_, held := tb.Usage(UsageQuery{Service: "s"}, now)
	is.Equal(held, 1.0)
}

// TestEvacuationsMatchTheFeed compares the set with one that is computed from the whole feed, over random records that
// reach the process as batches and snapshots, some of which are repeated or outdated: those of a store that drops records
// from its history, and of peers whose caches are behind.
func TestEvacuationsMatchTheFeed(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(21, 4))
	names := []string{"a", "b", "c", "d"}
	for range 300 {
		feed := make([]EvacuationRecord, 60)
		for i := range feed {
			feed[i] = EvacuationRecord{DataCentre: names[rng.IntN(len(names))], Evacuated: rng.IntN(2) == 0}
		}
		// naive returns the evacuated data centres as of an offset.
		naive := func(offset int) []EvacuationRecord {
			last := make(map[string]bool)
			for _, r := range feed[:offset] {
				last[r.DataCentre] = r.Evacuated
			}
			var out []EvacuationRecord
			for _, n := range names {
				if last[n] {
					out = append(out, EvacuationRecord{DataCentre: n, Evacuated: true})
				}
			}
			return out
		}
		var set Evacuations
		newest, position := 0, 0 // The newest offset that arrived, and the one at which the process reads on.
		for range 40 {
			if rng.IntN(4) == 0 {
				position = rng.IntN(len(feed) + 1)
				set = set.WithSnapshot(naive(position), int64(position))
			} else {
				from := position
				position = min(len(feed), from+rng.IntN(6))
				set = set.WithRecords(feed[from:position], int64(position))
			}
			newest = max(newest, position)
			want := naive(newest)
			is.Equal(set.Len(), len(want))
			for _, r := range want {
				is.True(set.Contains(r.DataCentre))
			}
			is.Equal(set.Next(), int64(newest))
		}
	}
}
