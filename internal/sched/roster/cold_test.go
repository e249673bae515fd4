package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func coldUpstream(id string, left time.Duration, at time.Time) Upstream {
	u := testUpstream(id)
	u.ColdFor, u.HeardAt = left, at
	return u
}

func limited(string) bool { return true }

// picks reports whether the table picks an upstream, and takes the request back.
func picks(t *Table, c Criteria, at time.Time) (string, bool) {
	u, ok := t.Pick(c, at)
	if ok {
		t.Done(u.Instance, Abandoned, at)
	}
	return u.Instance, ok
}

// TestColdUpstreamNeedsPermit guards against requests to a cold upstream that nobody counted, and against changes for
// services without a limit.
func TestColdUpstreamNeedsPermit(t *testing.T) {
	tests := []struct {
		name string
		c    Criteria
		// at is the time after the announcement, which says that the upstream is cold for 10 s.
		at     time.Duration
		picked bool
	}{
		{"no limit", Criteria{Service: "s"}, 0, true},
		{"cold", Criteria{Service: "s", LimitCold: true}, 0, false},
		{"cold to the end", Criteria{Service: "s", LimitCold: true}, 10*time.Second - 1, false},
		{"warm after the time", Criteria{Service: "s", LimitCold: true}, 10 * time.Second, true},
		{"permit for it", Criteria{Service: "s", LimitCold: true, Permitted: []string{"x"}}, 0, true},
		{"permit for another", Criteria{Service: "s", LimitCold: true, Permitted: []string{"y"}}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New()
			tb.Update(coldUpstream("x", 10*time.Second, now))
			_, ok := picks(tb, tt.c, now.Add(tt.at))
			is.Equal(ok, tt.picked)
		})
	}
}

// TestAnnouncementDecidesWhetherCold covers upstreams that turn cold again at any moment, and that turn warm early.
func TestAnnouncementDecidesWhetherCold(t *testing.T) {
	is := is.New(t)
	tb := New()
	c := Criteria{Service: "s", LimitCold: true}
	isPicked := func(at time.Time) bool {
		_, ok := picks(tb, c, at)
		return ok
	}
	tb.Update(coldUpstream("x", 0, now))
	is.True(isPicked(now))
	tb.Update(coldUpstream("x", 5*time.Second, now.Add(time.Second)))
	is.True(!isPicked(now.Add(time.Second)))
	tb.Update(coldUpstream("x", 4*time.Second, now.Add(2*time.Second)))
	is.True(!isPicked(now.Add(6*time.Second - 1)))
	tb.Update(coldUpstream("x", 0, now.Add(3*time.Second)))
	is.True(isPicked(now.Add(3 * time.Second)))
	tb.Replace([]Upstream{coldUpstream("x", time.Second, now.Add(4*time.Second))}, now.Add(4*time.Second))
	is.True(!isPicked(now.Add(4 * time.Second)))
	restarted := coldUpstream("x", 0, now.Add(4*time.Second))
	restarted.Incarnation = 2
	tb.Update(restarted)
	is.True(isPicked(now.Add(4 * time.Second)))
}

// TestReturnedDataCentreCountsAsCold guards against full load on upstreams that turned cold while their data centre was
// evacuated, before they could say so.
func TestReturnedDataCentreCountsAsCold(t *testing.T) {
	is := is.New(t)
	starts := map[string]time.Duration{"s": 20 * time.Second}
	until := func(service string) time.Duration { return starts[service] }
	newTable := func() *Table {
		tb := New()
		tb.Update(coldUpstream("x", 0, now))
		other := coldUpstream("y", 0, now)
		other.DataCentre = "b"
		tb.Update(other)
		plain := coldUpstream("z", 0, now)
		plain.Service = "plain"
		tb.Update(plain)
		is.Equal(tb.AssumeCold("a", until, now.Add(time.Second)), 1)
		return tb
	}
	x := Criteria{Service: "s", LimitCold: true, Exclude: []string{"y"}}
	isPicked := func(tb *Table, c Criteria, at time.Duration) bool {
		_, ok := picks(tb, c, now.Add(at))
		return ok
	}

	tb := newTable()
	is.True(isPicked(tb, Criteria{Service: "s", LimitCold: true, Exclude: []string{"x"}}, time.Second)) // In another one.
	is.True(isPicked(tb, Criteria{Service: "plain", LimitCold: true}, time.Second))                     // No time in which it is cold.
	is.True(!isPicked(tb, x, 21*time.Second-1))
	is.True(isPicked(tb, x, 21*time.Second))

	tb = newTable() // A list that was read again may be older than the return.
	tb.Replace([]Upstream{coldUpstream("x", 0, now.Add(2*time.Second))}, now.Add(2*time.Second))
	is.True(!isPicked(tb, x, 2*time.Second))
	tb.Update(coldUpstream("x", 0, now.Add(3*time.Second)))
	is.True(isPicked(tb, x, 3*time.Second))

	tb = newTable() // An announcement that arrives at once may be older than the return.
	tb.Update(coldUpstream("x", 0, now.Add(time.Second+announcementDelay-1)))
	is.True(!isPicked(tb, x, 2*time.Second))
	tb.Update(coldUpstream("x", 0, now.Add(time.Second+announcementDelay)))
	is.True(isPicked(tb, x, 2*time.Second))

	tb = newTable() // It says itself that it is cold.
	tb.Update(coldUpstream("x", 5*time.Second, now.Add(2*time.Second)))
	is.True(!isPicked(tb, x, 8*time.Second))
	tb.Update(coldUpstream("x", 0, now.Add(8*time.Second)))
	is.True(isPicked(tb, x, 8*time.Second))
}

// TestColdChangesAreReportedOnce guards against a line in the log with each announcement.
func TestColdChangesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	tb := New()
	take := func(at time.Time) []ColdChange { return tb.TakeColdChanges(limited, at) }
	tb.Update(coldUpstream("x", 3*time.Second, now))
	is.Equal(len(tb.TakeColdChanges(func(string) bool { return false }, now)), 0)
	got := take(now.Add(time.Second))
	is.Equal(len(got), 1)
	is.True(got[0].Cold)
	is.Equal(got[0].Source, coldAnnounced)
	is.Equal(got[0].Age, time.Second)
	is.Equal(got[0].Left, 2*time.Second)
	tb.Update(coldUpstream("x", 2*time.Second, now.Add(time.Second)))
	is.Equal(len(take(now.Add(time.Second))), 0)
	is.Equal(tb.ColdCount(limited, now.Add(time.Second)), 1)
	got = take(now.Add(3 * time.Second))
	is.Equal(len(got), 1)
	is.True(!got[0].Cold)
	is.Equal(got[0].Source, coldElapsed)
	is.Equal(tb.ColdCount(limited, now.Add(3*time.Second)), 0)
	tb.AssumeCold("a", func(string) time.Duration { return time.Minute }, now.Add(4*time.Second))
	got = take(now.Add(4 * time.Second))
	is.Equal(len(got), 1)
	is.Equal(got[0].Source, coldReturned)
	tb.Update(coldUpstream("x", 0, now.Add(5*time.Second)))
	got = take(now.Add(5 * time.Second))
	is.Equal(len(got), 1)
	is.Equal(got[0].Source, coldAnnounced)
}

// TestWantsPermitForTheBestUpstreamOnly guards against permit requests that no request would use.
func TestWantsPermitForTheBestUpstreamOnly(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(coldUpstream("cold", time.Minute, now))
	warm := coldUpstream("warm", 0, now.Add(-time.Minute))
	tb.Update(warm)
	c := Criteria{Service: "s", DataCentre: "a", LimitCold: true}
	_, ok := tb.WantsPermit(c, now)
	is.True(!ok) // The warm one is idle.
	tb.RecordLoad("warm", Load{Running: 10, Waiting: 5, Slots: 10}, now)
	got, ok := tb.WantsPermit(c, now)
	is.True(ok)
	is.Equal(got, "cold")
	held := c
	held.Permitted = []string{"cold"}
	_, ok = tb.WantsPermit(held, now)
	is.True(!ok)
	tb.Remove("warm", now)
	got, ok = tb.WantsPermit(c, now)
	is.True(ok)
	is.Equal(got, "cold")
	tb.Done("cold", Unreachable, now)
	_, ok = tb.WantsPermit(c, now)
	is.True(!ok)
}

// TestLoadOfAWarmUpstreamRampsUp guards against all gateways sending their requests to an upstream that turned warm at the
// same moment: 20 of them, each with its own table, share eight upstreams that hold half of what their slots take.
func TestLoadOfAWarmUpstreamRampsUp(t *testing.T) {
	is := is.New(t)
	const tables = 20
	c := Criteria{Service: "s", DataCentre: "a", LimitCold: true}
	share := func(after time.Duration) float64 {
		toNew := 0
		for range tables {
			tb := New()
			at := now.Add(10*time.Second + after)
			tb.Update(coldUpstream("new", 10*time.Second, now))
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				tb.Update(coldUpstream(id, 0, now.Add(-time.Minute)))
				tb.RecordLoad(id, Load{Running: 5, Slots: 10}, at)
			}
			if id, ok := picks(tb, c, at); ok && id == "new" {
				toNew++
			}
		}
		return float64(toNew) / tables
	}
	is.Equal(share(0), 0.0)
	is.Equal(share(800*time.Millisecond), 0.0)
	is.Equal(share(1500*time.Millisecond), 1.0) // It is idle, and half of the penalty has decayed.
	is.Equal(share(time.Minute), 1.0)
	tb := New()
	tb.Update(coldUpstream("new", 10*time.Second, now))
	s := tb.upstreams["new"]
	is.Equal(s.cold.penalty(now), coldPenalty)
	last := coldPenalty
	for d := time.Duration(0); d <= slowStartTime; d += 100 * time.Millisecond {
		p := s.cold.penalty(now.Add(10*time.Second + d))
		is.True(p <= last)
		last = p
	}
	is.Equal(last, 0.0)
	s.cold = s.cold.withAnnouncement(0, now.Add(11*time.Second), false)
	is.Equal(s.cold.penalty(now.Add(11*time.Second)), coldPenalty/2) // It turned warm when the time had elapsed.
}

// TestWithoutALimitScoresAreUnchanged guards against other picks for services without a limit for cold upstreams.
func TestWithoutALimitScoresAreUnchanged(t *testing.T) {
	is := is.New(t)
	tb := New()
	tb.Update(coldUpstream("cold", time.Minute, now))
	tb.Update(coldUpstream("warm", 0, now.Add(-time.Minute)))
	tb.RecordLoad("warm", Load{Running: 1, Slots: 10}, now)
	for range 20 {
		id, ok := picks(tb, Criteria{Service: "s", DataCentre: "a"}, now)
		is.True(ok)
		is.Equal(id, "cold") // It is idle.
	}
}
