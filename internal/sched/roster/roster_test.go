package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1_700_000_000, 0)

func up(id string) Upstream {
	return Upstream{Instance: id, Address: id + ":1", Service: "s", DataCentre: "a", Slots: 10, Born: 1}
}

func TestPickPassesOver(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Table)
	}{
		{"draining", func(t *Table) { u := up("x"); u.Draining = true; t.Update(u) }},
		{"gone", func(t *Table) { t.Remove("x", now) }},
		{"of another service", func(t *Table) { u := up("x"); u.Service = "other"; t.Update(u) }},
		{"unreachable", func(t *Table) { t.Done("x", Unreachable, now) }},
		{"full", func(t *Table) { t.Done("x", Rejected, now) }},
		{"with a strange address", func(t *Table) { t.Done("x", Misdirected, now) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New()
			tb.Update(up("x"))
			tt.change(tb)
			_, ok := tb.Pick(Want{Service: "s", DataCentre: "a"}, now)
			is.True(!ok)
		})
	}
}

func TestUnreachableUpstreamsAreTriedAgain(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(up("x"))
	at := now
	for range 20 {
		tb.Done("x", Unreachable, at)
		at = at.Add(maxPause)
		_, ok := tb.Pick(Want{Service: "s"}, at)
		is.True(ok)
	}
}

// TestWarmUpstreamIsKeptUntilItIsMuchMoreLoaded is the pattern of programs whose cache stands at one engine.
func TestWarmUpstreamIsKeptUntilItIsMuchMoreLoaded(t *testing.T) {
	is := is.New(t)
	tb := New()
	for i := range 4 {
		tb.Update(up(fmt.Sprint("e", i)))
	}
	w := Want{Service: "s", DataCentre: "a", Warm: "e2", WarmBonus: 0.35}
	for range 3 {
		u, ok := tb.Pick(w, now)
		is.True(ok)
		is.Equal(u.Instance, "e2")
	}
	tb.Heard("e2", Load{Running: 10, Waiting: 3, Slots: 10}, now)
	u, ok := tb.Pick(w, now)
	is.True(ok)
	is.True(u.Instance != "e2")
}

// TestLoadIsSpread sends 400 requests that all last; the most loaded upstream stays close to the mean.
func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	tb := New()
	count := make(map[string]int)
	for i := range 8 {
		tb.Update(up(fmt.Sprint("e", i)))
	}
	for range 400 {
		u, _ := tb.Pick(Want{Service: "s", DataCentre: "a"}, now)
		count[u.Instance]++
	}
	for _, n := range count {
		is.True(n >= 45 && n <= 55)
	}
}

// TestOutageOfTheStoreKeepsUpstreams checks that announcements which lapse while the store was away count as gone only
// if they are not back in time.
func TestOutageOfTheStoreKeepsUpstreams(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(up("back"))
	tb.Update(up("lost"))
	tb.Hold(now.Add(2 * time.Second))
	tb.Replace(nil, now.Add(time.Second))
	is.Equal(tb.Len(), 2)
	tb.Update(up("back"))
	tb.Settle(now.Add(time.Second))
	is.Equal(tb.Len(), 2)
	tb.Settle(now.Add(3 * time.Second))
	is.Equal(tb.Len(), 1)
	u, ok := tb.Pick(Want{Service: "s"}, now.Add(3*time.Second))
	is.True(ok)
	is.Equal(u.Instance, "back")
}

func TestRestartUnderTheSameNameForgetsWhatWasKnown(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(up("x"))
	tb.Done("x", Unreachable, now)
	u := up("x")
	u.Born = 2
	gone, _ := tb.Update(u)
	is.Equal(gone, "x:1")
	_, ok := tb.Pick(Want{Service: "s"}, now)
	is.True(ok)
}

// TestLeavingIsKeptWithTheStart is the pattern of a worker that says in its answers that it leaves while announcements of
// it are old: it gets no new work until it starts anew.
func TestLeavingIsKeptWithTheStart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := Upstream{Instance: "i1", Born: 1, Address: "a:1", Service: "s", Slots: 4}
	tb := New()
	tb.Update(u)
	is.True(tb.Leaving("i1", now))
	is.True(!tb.Leaving("i1", now)) // Known already.
	picked := func() bool {
		_, ok := tb.Pick(Want{Service: "s"}, now)
		return ok
	}
	is.True(!picked())
	tb.Update(u) // An announcement that is older than the answer.
	is.True(!picked())
	tb.Remove("i1", now)
	tb.Update(u) // It lapsed and came back.
	is.True(!picked())
	tb.Settle(now.Add(time.Minute))
	is.True(!picked())
	u.Born = 2
	tb.Update(u)
	is.True(picked())
}

// TestLargeSharedPartsStandAtFewEngines is the pattern of long prompts that many programs begin with: each is cached at
// some of the engines, all processes agree at which, and load still decides.
func TestLargeSharedPartsStandAtFewEngines(t *testing.T) {
	is := is.New(t)
	const engines, prompts, programs = 18, 6, 100
	tables := []*Table{New(), New()}
	for _, tb := range tables {
		for i := range engines {
			tb.Update(up(fmt.Sprint("e", i)))
		}
	}
	readings := func(tokens int64) (pairs, busiest int) {
		seen := make(map[string]bool)
		for p := range prompts {
			picked := make(map[string]int)
			for i := range programs {
				tb := tables[i%len(tables)]
				u, ok := tb.Pick(Want{Service: "s", DataCentre: "a", Shared: fmt.Sprint("part", p), SharedTokens: tokens}, now)
				is.True(ok)
				tb.Done(u.Instance, Answered, now)
				seen[fmt.Sprint(p, u.Instance)] = true
				picked[u.Instance]++
				busiest = max(busiest, picked[u.Instance])
			}
		}
		return len(seen), busiest
	}
	few, _ := readings(12_600)
	all, _ := readings(100)
	is.True(few <= engines*prompts/2)
	is.True(all > engines*prompts*9/10)

	held := 0 // Load goes before a cache.
	tb := tables[0]
	picked := make(map[string]int)
	for range engines * 5 {
		u, ok := tb.Pick(Want{Service: "s", DataCentre: "a", Shared: "part", SharedTokens: 12_600}, now)
		is.True(ok)
		picked[u.Instance]++
		held = max(held, picked[u.Instance])
	}
	is.True(held <= 8) // Five each in the mean, of ten slots.
}
