package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// affinityLoad is a run of gateways that send calls concerning objects to the upstreams of one service. A call takes
// missTime, or hitTime where its object is among the last recentObjects that the upstream handled.
type affinityLoad struct {
	rng       *rand.Rand
	tables    []*Table
	upstreams []*affinityUpstream
	// hot is the share of the calls that concern object 0; the others concern any of objects alike.
	hot float64
	// sticky sets the affinity of the calls.
	sticky bool
	// times holds the times of the calls of the second half, hits is how many of them hit.
	times []time.Duration
	hits  int
}

type affinityUpstream struct {
	id      string
	recent  []int
	running []modelCall
}

type modelCall struct {
	table int
	ends  time.Time
}

const (
	missTime, hitTime       = 156 * time.Millisecond, 78 * time.Millisecond
	objects, recentObjects  = 4000, 400
	modelSlots, modelTables = 6, 38
)

func newAffinityLoad(seed uint64, upstreams int, sticky bool, hot float64) *affinityLoad {
	l := &affinityLoad{rng: rand.New(rand.NewPCG(seed, 15)), hot: hot, sticky: sticky}
	for range modelTables {
		l.tables = append(l.tables, New())
	}
	for i := range upstreams {
		u := testUpstream(fmt.Sprint("w", i))
		u.DataCentre, u.Slots = string(rune('a'+i%4)), modelSlots
		l.upstreams = append(l.upstreams, &affinityUpstream{id: u.Instance})
		for _, tb := range l.tables {
			tb.Update(u)
		}
	}
	return l
}

// run sends calls at the rate for the given time.
func (l *affinityLoad) run(perSecond float64, lasts time.Duration) {
	at := now
	for at.Before(now.Add(lasts)) {
		at = at.Add(time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)))
		l.finish(at)
		object := l.rng.IntN(objects)
		if l.rng.Float64() < l.hot {
			object = 0
		}
		l.send(object, l.rng.IntN(len(l.tables)), at, at.After(now.Add(lasts/2)))
	}
}

// finish ends the calls whose time is over. Their answers carry load reports.
func (l *affinityLoad) finish(at time.Time) {
	for _, u := range l.upstreams {
		kept := u.running[:0]
		for _, c := range u.running {
			if c.ends.After(at) {
				kept = append(kept, c)
				continue
			}
			l.tables[c.table].RecordLoad(u.id, Load{Running: len(u.running), Slots: modelSlots}, at)
			l.tables[c.table].Done(u.id, Answered, at)
		}
		u.running = kept
	}
}

func (l *affinityLoad) send(object, table int, at time.Time, counted bool) {
	c := Criteria{Service: "s", DataCentre: string(rune('a' + table%4))}
	if l.sticky {
		c.Affinity = fmt.Sprint(object)
	}
	picked, ok := l.tables[table].Pick(c, at)
	if !ok {
		return
	}
	u := l.upstreams[slices.IndexFunc(l.upstreams, func(u *affinityUpstream) bool { return u.id == picked.Instance })]
	took, hit := missTime, false
	if slices.Contains(u.recent, object) {
		hit = true
		took = hitTime
	}
	u.recent = append(u.recent, object)
	if len(u.recent) > recentObjects {
		u.recent = u.recent[1:]
	}
	if n := len(u.running); n >= modelSlots { // The call waits until enough of those before it have ended.
		took += time.Duration(n-modelSlots+1) * missTime / modelSlots
	}
	u.running = append(u.running, modelCall{table, at.Add(took)})
	if counted {
		l.times = append(l.times, took)
		if hit {
			l.hits++
		}
	}
}

// hitShare returns the share of hits, quantile the time that the given share of the calls does not exceed.
func (l *affinityLoad) hitShare() float64 { return float64(l.hits) / float64(len(l.times)) }

func (l *affinityLoad) quantile(share float64) time.Duration {
	return slices.Sorted(slices.Values(l.times))[int(share*float64(len(l.times)-1))]
}

// TestAffinityUnderLoad compares calls that name their object with the same calls without, at a load that 21 upstreams
// bear well, near the load at which they are full, and with an object that a third of the calls concern, which is more than
// one upstream bears. Affinity must make most calls faster, and the calls for one object must not queue at its upstream: the
// slowest ones take no longer than without, or than twice a miss at an idle upstream. Callers allow several times that.
func TestAffinityUnderLoad(t *testing.T) {
	tests := []struct {
		name           string
		perSecond, hot float64
		// hits is the least share of hits.
		hits float64
	}{
		{"a quarter of the slots", 200, 0, 0.8},
		{"most of the slots", 600, 0, 0.5},
		{"a hot object", 300, 0.33, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			plain, sticky := newAffinityLoad(8, 21, false, tt.hot), newAffinityLoad(8, 21, true, tt.hot)
			for _, l := range []*affinityLoad{plain, sticky} {
				l.run(tt.perSecond, 60*time.Second)
				t.Logf("sticky %v: %d calls, hits %.2f, median %v, 0.99 of them within %v, 0.999 within %v",
					l.sticky, len(l.times), l.hitShare(), l.quantile(0.5), l.quantile(0.99), l.quantile(0.999))
			}
			is.True(sticky.hitShare() > tt.hits)
			is.True(sticky.quantile(0.5) < plain.quantile(0.5))
			is.True(sticky.quantile(0.999) <= max(plain.quantile(0.999), 2*missTime))
		})
	}
}

// TestAffinityPicks covers the upstreams that must not get the requests of their objects, and that a retry goes to the next
// one in the order of the object at every process.
func TestAffinityPicks(t *testing.T) {
	is := is.New(t)
	newTable := func() *Table {
		tb := New()
		for i := range 6 {
			u := testUpstream(fmt.Sprint("w", i))
			u.DataCentre = string(rune('a' + i%3))
			tb.Update(u)
		}
		return tb
	}
	a, b := newTable(), newTable()
	pick := func(tb *Table, c Criteria) string {
		u, ok := tb.Pick(c, now)
		is.True(ok)
		tb.Done(u.Instance, Answered, now)
		return u.Instance
	}
	var order []string // The upstreams in the order of the object, found by excluding those before.
	for range 6 {
		order = append(order, pick(a, Criteria{Service: "s", DataCentre: "a", Affinity: "17", Exclude: order}))
	}
	for i, id := range order {
		is.Equal(pick(b, Criteria{Service: "s", DataCentre: "c", Affinity: "17", Exclude: order[:i]}), id)
	}
	c := Criteria{Service: "s", Affinity: "17"}
	tests := []struct {
		name   string
		change func(tb *Table)
	}{
		{"draining", func(tb *Table) { tb.MarkLeaving(Start{order[0], 1}, now) }},
		{"unreachable", func(tb *Table) { tb.Done(order[0], Unreachable, now) }},
		{"busy", func(tb *Table) { tb.RecordLoad(order[0], Load{Running: 10, Slots: 10}, now) }},
		{"failing", func(tb *Table) { tb.RecordPeerFailure(order[0], 1, now) }},
		{"slow", func(tb *Table) {
			for range 10 {
				tb.RecordTime(order[0], 5, now)
			}
		}},
		{"evacuated", func(tb *Table) {
			tb.SetEvacuations(Evacuations{}.WithRecords(evacuate(tb.upstreams[order[0]].DataCentre), 1))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			is.Equal(pick(tb, c), order[0])
			tt.change(tb)
			is.True(pick(tb, c) != order[0])
		})
	}
	full := newTable()
	for _, id := range order {
		for range 10 {
			full.RecordTime(id, 5, now)
		}
	}
	_, ok := full.Pick(c, now)
	is.True(ok) // An upstream is picked also where all exceed the bound.
	is.Equal(full.AffinityCounts().Unbounded, int64(1))
	plain := newTable()
	_ = pick(plain, Criteria{Service: "s"})
	is.Equal(plain.AffinityCounts(), AffinityCounts{})
}
