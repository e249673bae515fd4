package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewestCapReportApplies guards against an older report, which a peer passed on late, that replaces a newer one.
func TestNewestCapReportApplies(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	inForce := func(perSecond float64) RateCap { return RateCap{PerSecond: perSecond, InForce: true} }
	tests := []struct {
		name    string
		reports []CapReport
		want    RateCap
		// changes is the number of reports that are changes.
		changes int
	}{
		{"none", []CapReport{{SeenAt: at}}, RateCap{}, 0},
		{"a cap", []CapReport{{Cap: inForce(2), SeenAt: at}}, inForce(2), 1},
		{"a cap of zero", []CapReport{{Cap: inForce(0), SeenAt: at}}, inForce(0), 1},
		{"the same again", []CapReport{{Cap: inForce(2), SeenAt: at}, {Cap: inForce(2), SeenAt: at.Add(1)}}, inForce(2), 1},
		{"a slight change", []CapReport{{Cap: inForce(2), SeenAt: at}, {Cap: inForce(2.1), SeenAt: at.Add(1)}}, inForce(2.1), 1},
		{"lower", []CapReport{{Cap: inForce(2), SeenAt: at}, {Cap: inForce(1), SeenAt: at.Add(1)}}, inForce(1), 2},
		{"lifted", []CapReport{{Cap: inForce(2), SeenAt: at}, {SeenAt: at.Add(1)}}, RateCap{}, 2},
		{"lifted before", []CapReport{{Cap: inForce(2), SeenAt: at}, {SeenAt: at.Add(-1)}}, inForce(2), 1},
		{"older", []CapReport{{SeenAt: at}, {Cap: inForce(2), SeenAt: at.Add(-1)}}, RateCap{}, 0},
		{"another start", []CapReport{{Start: Start{Incarnation: 7}, Cap: inForce(2), SeenAt: at}}, RateCap{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			table.Update(Upstream{Instance: "x", Incarnation: 1, Service: "s", Slots: 4})
			changes := 0
			for _, r := range tt.reports {
				r.Instance = "x"
				if r.Incarnation == 0 {
					r.Incarnation = 1
				}
				if table.RecordCap(r) {
					changes++
				}
			}
			got, _ := table.LatestCap("x")
			is.Equal(got.Cap, tt.want)
			is.Equal(changes, tt.changes)
			count := map[bool]int{true: 1}[tt.want.InForce]
			is.Equal(table.CappedCount("s"), count)
			is.Equal(table.CappedCount(""), count)
			is.Equal(table.CappedCount("other"), 0)
			table.Update(Upstream{Instance: "x", Incarnation: 2, Service: "s", Slots: 4}) // A new start has no cap.
			is.Equal(table.CappedCount(""), 0)
		})
	}
}

// TestCappedUpstreamNeedsAPermit guards against requests to a capped upstream without a permit, wherever one is picked, and
// against permits that are asked for although another upstream is better.
func TestCappedUpstreamNeedsAPermit(t *testing.T) {
	for _, l := range []Learning{LearnNone, LearnAll} {
		is := is.New(t)
		now := time.Unix(1_700_000_000, 0)
		tb := New(WithLearning(l))
		tb.Update(Upstream{Instance: "x", Service: "s", Slots: 4})
		is.True(tb.RecordCap(CapReport{Start: Start{Instance: "x"}, Cap: RateCap{PerSecond: 2, InForce: true}, SeenAt: now}))
		for _, c := range []Criteria{{Service: "s"}, {Service: "s", Affinity: "a"}, {Service: "s", CachedOn: "x"}} {
			_, ok := tb.Pick(c, now)
			is.True(!ok)
			instance, ok := tb.WantsPermit(c, now)
			is.True(ok)
			is.Equal(instance, "x")
			c.Permitted = []string{"x"}
			u, ok := tb.Pick(c, now)
			is.True(ok)
			is.Equal(u.Instance, "x")
			tb.Done("x", Answered, now)
		}
		tb.Update(Upstream{Instance: "y", Service: "s", Slots: 400})
		tb.RecordLoad("x", Load{Running: 4, Slots: 4}, now)
		_, ok := tb.WantsPermit(Criteria{Service: "s"}, now)
		is.True(!ok)
	}
}

// TestUsageCountsWhatACapSustains guards against programs that start because of free slots at upstreams that accept few requests.
func TestUsageCountsWhatACapSustains(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		typical   time.Duration
		slots     int
	}{
		{"a tenth of a slot each", 1, 100 * time.Millisecond, 16},
		{"two slots each", 20, 100 * time.Millisecond, 20},
		{"more than the slots", 1000, 100 * time.Millisecond, 48},
		{"time unknown", 1, 0, 48},
		{"accepts none", 0, 100 * time.Millisecond, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			tb := New()
			for _, id := range []string{"x", "y", "z"} {
				tb.Update(Upstream{Instance: id, Service: "s", Slots: 16})
				tb.RecordLoad(id, Load{Running: 2, Slots: 16}, now)
			}
			for _, id := range []string{"x", "y"} {
				tb.RecordCap(CapReport{Start: Start{Instance: id}, Cap: RateCap{tt.perSecond, true}, SeenAt: now})
			}
			slots, held := tb.Usage(UsageQuery{Service: "s", Typical: tt.typical}, now)
			is.Equal(slots, tt.slots)
			is.Equal(held, 6.0) // What runs there counts all the same.
		})
	}
}
