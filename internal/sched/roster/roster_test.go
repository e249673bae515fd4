package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1_700_000_000, 0)

func testUpstream(id string) Upstream {
	return Upstream{Instance: id, Address: id + ":1", Service: "s", DataCentre: "a", Slots: 10, Incarnation: 1}
}

func TestPickSkipsUnavailableUpstreams(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Table)
	}{
		{"draining", func(t *Table) { u := testUpstream("x"); u.Draining = true; t.Update(u) }},
		{"gone", func(t *Table) { t.Remove("x", now) }},
		{"of another service", func(t *Table) { u := testUpstream("x"); u.Service = "other"; t.Update(u) }},
		{"unreachable", func(t *Table) { t.Done("x", Unreachable, now) }},
		{"full", func(t *Table) { t.Done("x", Rejected, now) }},
		{"at another instance's address", func(t *Table) { t.Done("x", Misdirected, now) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New()
			tb.Update(testUpstream("x"))
			tt.change(tb)
			_, ok := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, now)
			is.True(!ok)
		})
	}
}

func TestUnreachableUpstreamsAreRetried(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(testUpstream("x"))
	at := now
	for range 20 {
		tb.Done("x", Unreachable, at)
		at = at.Add(maxBackoff)
		_, ok := tb.Pick(Criteria{Service: "s"}, at)
		is.True(ok)
	}
}

// TestCachedUpstreamIsPreferredUntilOverloaded covers programs whose cache is held by one engine.
func TestCachedUpstreamIsPreferredUntilOverloaded(t *testing.T) {
	is := is.New(t)
	tb := New()
	for i := range 4 {
		tb.Update(testUpstream(fmt.Sprint("e", i)))
	}
	c := Criteria{Service: "s", DataCentre: "a", CachedOn: "e2", CacheBonus: 0.35}
	for range 3 {
		u, ok := tb.Pick(c, now)
		is.True(ok)
		is.Equal(u.Instance, "e2")
	}
	tb.RecordLoad("e2", Load{Running: 10, Waiting: 3, Slots: 10}, now)
	u, ok := tb.Pick(c, now)
	is.True(ok)
	is.True(u.Instance != "e2")
}

// TestLoadIsSpread sends 400 requests that do not end; the load of each upstream must stay close to the mean.
func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	tb := New()
	count := make(map[string]int)
	for i := range 8 {
		tb.Update(testUpstream(fmt.Sprint("e", i)))
	}
	for range 400 {
		u, _ := tb.Pick(Criteria{Service: "s", DataCentre: "a"}, now)
		count[u.Instance]++
	}
	for _, n := range count {
		is.True(n >= 45 && n <= 55)
	}
}

// TestStoreOutageKeepsUpstreams checks that upstreams whose announcements expire during an outage of the store are
// removed only if the announcements do not return in time.
func TestStoreOutageKeepsUpstreams(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(testUpstream("back"))
	tb.Update(testUpstream("lost"))
	tb.HoldUntil(now.Add(2 * time.Second))
	tb.Replace(nil, now.Add(time.Second))
	is.Equal(tb.Len(), 2)
	tb.Update(testUpstream("back"))
	tb.ExpireMissing(now.Add(time.Second))
	is.Equal(tb.Len(), 2)
	tb.ExpireMissing(now.Add(3 * time.Second))
	is.Equal(tb.Len(), 1)
	u, ok := tb.Pick(Criteria{Service: "s"}, now.Add(3*time.Second))
	is.True(ok)
	is.Equal(u.Instance, "back")
}

func TestRestartWithSameInstanceResetsState(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(testUpstream("x"))
	tb.Done("x", Unreachable, now)
	u := testUpstream("x")
	u.Incarnation = 2
	gone, _ := tb.Update(u)
	is.Equal(gone, "x:1")
	_, ok := tb.Pick(Criteria{Service: "s"}, now)
	is.True(ok)
}

// TestLeavingLastsUntilRestart covers a worker that says in its answers that it is leaving while its announcements
// are still old: it must get no new requests until it restarts.
func TestLeavingLastsUntilRestart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := Upstream{Instance: "i1", Incarnation: 1, Address: "a:1", Service: "s", Slots: 4}
	tb := New()
	tb.Update(u)
	is.True(tb.MarkLeaving(u.Start(), now))
	is.True(!tb.MarkLeaving(u.Start(), now)) // Known already.
	picked := func() bool {
		_, ok := tb.Pick(Criteria{Service: "s"}, now)
		return ok
	}
	is.True(!picked())
	tb.Update(u) // An announcement older than the answer.
	is.True(!picked())
	tb.Remove("i1", now)
	tb.Update(u) // The announcement expired and returned.
	is.True(!picked())
	tb.ExpireMissing(now.Add(time.Minute))
	is.True(!picked())
	u.Incarnation = 2
	tb.Update(u)
	is.True(picked())
}

// TestLargeSharedPrefixesAreCachedOnFewEngines covers long prompt prefixes that many programs share: each is cached
// on some of the engines, all processes agree on which, and load still takes precedence.
func TestLargeSharedPrefixesAreCachedOnFewEngines(t *testing.T) {
	is := is.New(t)
	const engines, prompts, programs = 18, 6, 100
	tables := []*Table{New(), New()}
	for _, tb := range tables {
		for i := range engines {
			tb.Update(testUpstream(fmt.Sprint("e", i)))
		}
	}
	distribute := func(tokens int64) (pairs, busiest int) {
		seen := make(map[string]bool)
		for p := range prompts {
			picked := make(map[string]int)
			for i := range programs {
				tb := tables[i%len(tables)]
				u, ok := tb.Pick(Criteria{
					Service: "s", DataCentre: "a", SharedPrefix: fmt.Sprint("part", p), SharedPrefixTokens: tokens,
				}, now)
				is.True(ok)
				tb.Done(u.Instance, Answered, now)
				seen[fmt.Sprint(p, u.Instance)] = true
				picked[u.Instance]++
				busiest = max(busiest, picked[u.Instance])
			}
		}
		return len(seen), busiest
	}
	few, _ := distribute(12_600)
	all, _ := distribute(100)
	is.True(few <= engines*prompts/2)
	is.True(all > engines*prompts*9/10)

	held := 0 // Load takes precedence over the cache.
	tb := tables[0]
	picked := make(map[string]int)
	for range engines * 5 {
		u, ok := tb.Pick(Criteria{Service: "s", DataCentre: "a", SharedPrefix: "part", SharedPrefixTokens: 12_600}, now)
		is.True(ok)
		picked[u.Instance]++
		held = max(held, picked[u.Instance])
	}
	is.True(held <= 8) // The mean is five of ten slots.
}

// TestLeavingOfAnotherStart covers notices of a leaving upstream that arrive before its announcement, or after it restarted.
func TestLeavingOfAnotherStart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := Upstream{Instance: "i1", Incarnation: 2, Address: "a:1", Service: "s", Slots: 4}
	former := u
	former.Incarnation = 1
	tb := New()
	picked := func() bool {
		_, ok := tb.Pick(Criteria{Service: "s"}, now)
		return ok
	}
	is.True(tb.MarkLeaving(u.Start(), now))
	tb.Update(u)
	is.True(!picked())

	tb = New()
	tb.Update(u)
	is.True(tb.MarkLeaving(former.Start(), now))
	is.True(picked())
}
