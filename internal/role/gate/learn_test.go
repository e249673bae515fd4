package gate

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/roster"
)

func learningGateway(value string) (*Gateway, roster.Upstream) {
	s := config.DefaultGateway()
	s.DataCentre, s.LearnedCapacity = "a", value
	g := &Gateway{
		settings: s, roster: roster.New(roster.WithLearning(learningModes[s.LearnedCapacity])), logger: log.NewNopLogger(),
		metrics: telem.NewMetrics(),
	}
	u := roster.Upstream{Instance: "x", Incarnation: 1, Address: "x:1", Service: "s", DataCentre: "b", Slots: 6}
	g.roster.Update(u)
	return g, u
}

// TestSnapshotFollowsSetting guards against a setting without effect, and against metrics of upstreams whose capacity is not
// learned.
func TestSnapshotFollowsSetting(t *testing.T) {
	tests := []struct {
		value string
		pace  int
		want  bool
	}{
		{config.Auto, 0, false},
		{config.Auto, 120, true},
		{config.On, 0, true},
		{config.Off, 120, false},
	}
	for _, tt := range tests {
		t.Run(tt.value, func(t *testing.T) {
			is := is.New(t)
			g, u := learningGateway(tt.value)
			g.roster.RecordLoad(u.Instance, roster.Load{Running: 2, Slots: 6, Pace: tt.pace}, time.Now())
			var b strings.Builder
			g.writeLearned(&b)
			is.Equal(strings.Contains(b.String(), `upstream_limit{upstream="x",reason="announced"} 6`), tt.want)
			is.Equal(b.Len() > 0, tt.want)
		})
	}
}

// TestDistanceIsNoPartOfSpeed guards against upstreams in distant data centres that are taken for slow ones, and then count
// with the distance twice.
func TestDistanceIsNoPartOfSpeed(t *testing.T) {
	is := is.New(t)
	g, u := learningGateway(config.On)
	near := u
	near.Instance, near.Address, near.DataCentre = "y", "y:1", "a"
	g.roster.Update(near)
	for range 10 {
		g.recordConnect(u.Address, 10*time.Millisecond)
		g.recordConnect("unknown:1", time.Hour)
	}
	for range 40 {
		g.learnCall(u, "r", 30*time.Millisecond, true)
		g.learnCall(near, "r", 20*time.Millisecond, true)
	}
	for _, l := range g.roster.Learned(time.Now()) {
		is.True(l.Factor > 0.99 && l.Factor < 1.01)
	}
}

// TestLimitLinesAreBounded guards against log lines for each of many upstreams that slow at once.
func TestLimitLinesAreBounded(t *testing.T) {
	is := is.New(t)
	g, u := learningGateway(config.On)
	at := time.Now()
	for i := range 20 {
		v := u
		v.Instance = strings.Repeat("x", i+1)
		g.roster.Update(v)
		for k := range 60 {
			n := 1 + k%6
			g.roster.RecordLoad(v.Instance, roster.Load{Running: n - 1, Slots: 6, Pace: 100}, at)
			g.roster.LearnTime(v.Instance, max(1, float64(n)/2), true, at)
		}
	}
	g.roster.Learned(at.Add(time.Second)) // Refreshes what follows from the times.
	g.logLimits()
	is.Equal(g.metrics.Get("event_upstream_limit"), int64(maxLimitLines))
	is.Equal(g.metrics.Get("limit_changes_unlogged"), int64(20-maxLimitLines))
}
