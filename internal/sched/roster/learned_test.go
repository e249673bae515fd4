package roster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/sched/learn"
)

// TestLearningIsEnabledByPace guards against deployments whose upstreams report no pace and that behave differently.
func TestLearningIsEnabledByPace(t *testing.T) {
	tests := []struct {
		name     string
		learning Learning
		pace     int
		want     bool
	}{
		{"auto, no pace", LearnAuto, 0, false},
		{"auto, pace", LearnAuto, 100, true},
		{"on, no pace", LearnAll, 0, true},
		{"off, pace", LearnNone, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := New(WithLearning(tt.learning))
			tb.Update(testUpstream("x"))
			tb.RecordLoad("x", Load{Running: 4, Slots: 10, Pace: tt.pace}, now)
			is.Equal(len(tb.Learned(now)) == 1, tt.want)
			_, held := tb.Usage(UsageQuery{Service: "s"}, now)
			is.Equal(held, 4.0)
			// Without learning an expired report is an idle upstream.
			_, held = tb.Usage(UsageQuery{Service: "s"}, now.Add(loadReportTTL))
			is.Equal(held > 0, tt.want)
		})
	}
}

// TestOffIsAsBefore compares scores and usage with the formulas as they were before capacity was learned.
func TestOffIsAsBefore(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(2, 3))
	tb := New(WithLearning(LearnNone))
	tb.Update(testUpstream("x"))
	s := tb.upstreams["x"]
	at := now
	for range 1000 {
		at = at.Add(time.Duration(rng.IntN(700)) * time.Millisecond)
		switch rng.IntN(4) {
		case 0:
			_, _ = tb.Pick(Criteria{Service: "s", DataCentre: "b"}, at)
		case 1:
			tb.Done("x", Answered, at)
		case 2:
			tb.RecordLoad("x", Load{Running: rng.IntN(10), Waiting: rng.IntN(3), Slots: 10, Pace: 50 + rng.IntN(200)}, at)
		case 3:
			tb.RecordTime("x", 3*rng.Float64(), at)
			tb.LearnTime("x", 3*rng.Float64(), true, at)
		}
		n := s.inFlight
		if at.Sub(s.loadReportedAt) < loadReportTTL {
			n += s.otherRequests
		}
		want := (1+float64(n)/10)*s.slowdown.factor(at) - 1 + remotePenalty + s.penalty(at)
		got := s.score(Criteria{Service: "s", DataCentre: "b", Typical: time.Second}, s.load(0, at), at)
		is.True(got >= want-1e-9 && got <= want+scoreJitter+1e-9)
		slots, held := tb.Usage(UsageQuery{Service: "s"}, at)
		is.Equal(slots, 10)
		is.True(math.Abs(held-float64(n)) < 1e-9)
	}
	is.Equal(len(tb.TakeLimitChanges()), 0)
}

// TestPlaceMatchesReference compares the choice among few upstreams, all of which are sampled, with a pass over the costs.
func TestPlaceMatchesReference(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(8, 9))
	for range 300 {
		tb := New(WithLearning(LearnAll))
		for i := range samples {
			u := testUpstream(fmt.Sprint("e", i))
			u.Slots = 1 + rng.IntN(8)
			u.DataCentre = string(rune('a' + rng.IntN(2)))
			u.Draining = rng.IntN(8) == 0
			tb.Update(u)
			tb.RecordLoad(u.Instance, Load{Running: rng.IntN(9), Slots: u.Slots, Pace: 50 + rng.IntN(200)}, now)
			tb.LearnTime(u.Instance, 0.5+rng.Float64(), true, now)
		}
		c := Criteria{Service: "s", DataCentre: "a", CachedOn: fmt.Sprint("e", rng.IntN(6)), CacheBonus: 0.35, Typical: time.Second}
		sv := tb.service("s", now)
		want, best := "", math.Inf(1)
		for _, s := range tb.upstreams {
			if cost := s.cost(sv, c, now); !s.Draining && cost < best {
				want, best = s.Instance, cost
			}
		}
		got, ok := tb.Pick(c, now)
		is.Equal(ok, want != "")
		is.Equal(got.Instance, want)
	}
}

// TestUsageCountsLearnedCapacity guards against programs that are admitted to slots in which they would be slow.
func TestUsageCountsLearnedCapacity(t *testing.T) {
	is := is.New(t)
	tb := New(WithLearning(LearnAll))
	u := testUpstream("x")
	u.Slots = 6
	tb.Update(u)
	at := now
	for i := range 120 {
		at = at.Add(200 * time.Millisecond)
		n := 1 + i%6
		tb.RecordLoad("x", Load{Running: n - 1, Slots: 6, Pace: 100}, at)
		tb.LearnTime("x", max(1, float64(n)/3), true, at)
	}
	at = at.Add(refreshInterval)
	limit, _ := tb.Usage(UsageQuery{Service: "s"}, at)
	is.True(limit >= 3 && limit <= 4)
	changes := tb.TakeLimitChanges()
	is.True(len(changes) > 0)
	is.Equal(changes[len(changes)-1].Reason, learn.SlowsUnderLoad)
	limit, _ = tb.Usage(UsageQuery{Service: "s"}, at.Add(time.Minute))
	is.Equal(limit, 6) // What is not seen again is forgotten.
}

// TestSilentUpstreamIsAvoided guards against requests that are sent to an upstream which has stopped answering, but whose
// last report was of an idle one, and against one that is avoided for long after it answers again.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	tb := New(WithLearning(LearnAll))
	for _, id := range []string{"x", "y"} {
		tb.Update(testUpstream(id))
	}
	tb.RecordLoad("y", Load{Running: 9, Slots: 10, Pace: 100}, now)
	c := Criteria{Service: "s", DataCentre: "a", Typical: 50 * time.Millisecond}
	c.Exclude = []string{"y"}
	_, _ = tb.Pick(c, now)
	c.Exclude = nil
	at := now.Add(500 * time.Millisecond)
	tb.RecordLoad("y", Load{Running: 9, Slots: 10, Pace: 100}, at)
	u, _ := tb.Pick(c, at)
	is.Equal(u.Instance, "y")
	tb.RecordLoad("x", Load{Running: 1, Slots: 10, Pace: 100}, at)
	at = at.Add(2 * time.Second) // What its long silence implied is forgotten.
	tb.RecordLoad("y", Load{Running: 15, Slots: 10, Pace: 100}, at)
	u, _ = tb.Pick(c, at)
	is.Equal(u.Instance, "x")
}

// TestSilenceCountsForItsRoute guards against an upstream that short calls avoid because a long call runs there.
func TestSilenceCountsForItsRoute(t *testing.T) {
	is := is.New(t)
	tb := New(WithLearning(LearnAll))
	for _, id := range []string{"x", "y"} {
		tb.Update(testUpstream(id))
	}
	long := Criteria{Service: "s", DataCentre: "a", Typical: 10 * time.Second, Exclude: []string{"y"}}
	_, ok := tb.Pick(long, now)
	is.True(ok)
	at := now.Add(5 * time.Second)
	tb.RecordLoad("y", Load{Running: 10, Slots: 10, Pace: 100}, at)
	u, _ := tb.Pick(Criteria{Service: "s", DataCentre: "a", Typical: 50 * time.Millisecond}, at)
	is.Equal(u.Instance, "x")
}

// TestCachesCountWithLearning guards against programs that leave the engine with their cache, and against shared prefixes that
// are cached on all engines.
func TestCachesCountWithLearning(t *testing.T) {
	is := is.New(t)
	tb := New(WithLearning(LearnAll))
	const engines, calls = 18, 600
	for i := range engines {
		tb.Update(testUpstream(fmt.Sprint("e", i)))
	}
	kept, onPrefix := 0, 0
	for range calls {
		c := Criteria{Service: "s", DataCentre: "a", Typical: 200 * time.Millisecond, CachedOn: "e2", CacheBonus: 0.35}
		u, _ := tb.Pick(c, now)
		tb.Done(u.Instance, Answered, now)
		if u.Instance == "e2" {
			kept++
		}
		c = Criteria{Service: "s", DataCentre: "a", Typical: 200 * time.Millisecond, SharedPrefix: "p", SharedPrefixTokens: 12_600}
		u, _ = tb.Pick(c, now)
		tb.Done(u.Instance, Answered, now)
		if tb.upstreams[u.Instance].cachesPrefix("p") {
			onPrefix++
		}
	}
	t.Logf("of %d calls %d stay with their cache, %d reach an engine that should cache the shared prefix", calls, kept, onPrefix)
	is.Equal(kept, calls)
	is.True(float64(onPrefix) > 0.9*calls)
	tb.RecordLoad("e2", Load{Running: 10, Waiting: 3, Slots: 10, Pace: 100}, now)
	u, _ := tb.Pick(Criteria{Service: "s", DataCentre: "a", CachedOn: "e2", CacheBonus: 0.35}, now)
	is.True(u.Instance != "e2")
}

// BenchmarkPick measures the choice among the upstreams of the largest planned service.
func BenchmarkPick(b *testing.B) {
	for _, l := range []Learning{LearnNone, LearnAll} {
		b.Run(fmt.Sprint("learning ", l), func(b *testing.B) {
			tb := New(WithLearning(l))
			for i := range 4600 {
				u := testUpstream(fmt.Sprint("e", i))
				u.DataCentre = string(rune('a' + i%3))
				tb.Update(u)
				tb.RecordLoad(u.Instance, Load{Running: i % 10, Slots: 10, Pace: 100}, now)
			}
			at := now
			for b.Loop() {
				at = at.Add(20 * time.Millisecond)
				u, _ := tb.Pick(Criteria{Service: "s", DataCentre: "a", Typical: 50 * time.Millisecond}, at)
				tb.Done(u.Instance, Answered, at)
			}
		})
	}
}
