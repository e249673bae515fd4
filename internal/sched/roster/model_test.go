package roster

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"galenaward.example/galenaward/internal/sched/learn"
)

// The queueing model sends requests of many gateways, each with a table of its own, to upstreams that serve them in the
// order of arrival. It has no network and no clock but its own.

// scenario describes one run of the model.
type scenario struct {
	name string
	// gateways and upstreams are distributed evenly over the data centres, whose one-way distances are in modelDistances.
	gateways, upstreams, slots int
	// load is the demand as a fraction of what the upstreams serve together.
	load float64
	// engine says that requests are turns: the report comes with their start, and the time between events is learned.
	engine bool
	// speeds are the speeds of the upstreams in turn; flipEvery is after which time they move on to the next upstream.
	speeds    []float64
	flipEvery time.Duration
	// interference says that other workloads slow a machine by 2.5 for 600 ms at a time, for 15 of 100 machines.
	interference bool
	// kneeOf is the fraction of the slots above which upstreams with an odd number slow in proportion to the load;
	// zero for none. kneeFrom and kneeUntil bound the time in which they do.
	kneeOf              float64
	kneeFrom, kneeUntil time.Duration
	// wave is the amplitude of the demand's waves, as a fraction of its mean; their phases differ between data centres.
	wave float64
	// lost is the fraction of reports that do not arrive, late the delay of the others.
	lost float64
	late time.Duration
	// liars is the number of upstreams that always report the load and pace of lie.
	liars int
	lie   Load
	// frozen is the number of upstreams that do nothing from modelFreeze on for modelFrozen.
	frozen int
	// paceWithSpeed says that the reported pace includes the speed of the machine.
	paceWithSpeed bool
	// noPace says that reports have no pace.
	noPace bool
}

// modelDistances holds the one-way times between data centres.
var modelDistances = [3][3]time.Duration{
	{100 * time.Microsecond, 900 * time.Microsecond, 4900 * time.Microsecond},
	{900 * time.Microsecond, 100 * time.Microsecond, 4900 * time.Microsecond},
	{4900 * time.Microsecond, 4900 * time.Microsecond, 100 * time.Microsecond},
}

const (
	modelWarmup = 3 * time.Second
	modelEnd    = 13 * time.Second
	// modelWavePeriod is the period of the demand's waves.
	modelWavePeriod = 6 * time.Second
	modelFreeze     = 6 * time.Second
	modelFrozen     = 2 * time.Second
	// modelTokens is the number of events of a turn.
	modelTokens = 80
)

// outcomeTimes are the times of the requests of one run.
type outcomeTimes struct {
	mean, p99 time.Duration
	// usageError is the mean error of the requests that Usage returns, as a fraction of all slots.
	usageError float64
}

func (o outcomeTimes) String() string {
	return fmt.Sprintf("mean %6.1f ms, p99 %6.1f ms, usage off by %.2f", o.mean.Seconds()*1000, o.p99.Seconds()*1000, o.usageError)
}

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type modelGateway struct {
	dc      int
	table   *Table
	typical TypicalTime
	// learnedTypical leaves out the distance, request is the time of whole requests.
	learnedTypical, request TypicalTime
	distances               learn.Distances
}

type model struct {
	scenario
	rng       *rand.Rand
	now       time.Duration
	seq       int
	queue     modelQueue
	gateways  []*modelGateway
	upstreams []*modelUpstream
	took      []time.Duration
	// usageErrors is the sum of the errors of usageSamples samples.
	usageErrors, usageSamples float64
}

func dcName(i int) string { return string(rune('a' + i)) }

// runModel returns the times of the requests that arrived after the warm-up.
func runModel(s scenario, l Learning, seed uint64) outcomeTimes {
	m := &model{scenario: s, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.upstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{
			number: i, id: fmt.Sprint("e", i), dc: i % 3, speed: s.speeds[i%len(s.speeds)], slowdown: 1,
		})
	}
	for i := range s.gateways {
		g := &modelGateway{dc: i % 3, table: New(WithLearning(l))}
		for _, u := range m.upstreams {
			g.table.Update(Upstream{
				Instance: u.id, Address: u.id + ":1", Service: "s", DataCentre: dcName(u.dc), Slots: s.slots, Incarnation: 1,
			})
			g.distances = g.distances.WithConnect(dcName(u.dc), 2*modelDistances[g.dc][u.dc])
		}
		m.gateways = append(m.gateways, g)
		m.nextArrival(g)
	}
	for _, u := range m.upstreams {
		if s.interference {
			m.after(time.Duration(m.rng.ExpFloat64()*float64(3400*time.Millisecond)), func() { m.interfere(u) })
		}
	}
	m.sampleUsage()
	if s.flipEvery > 0 {
		m.after(s.flipEvery, func() { m.flip(1) })
	}
	for _, at := range []time.Duration{s.kneeFrom, s.kneeUntil, modelFreeze, modelFreeze + modelFrozen} {
		m.after(at-1, func() { m.advanceAll() })
		m.after(at, func() { m.advanceAll() })
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(modelEvent)
		if e.at > modelEnd {
			break
		}
		m.now = e.at
		e.do()
	}
	return m.outcome()
}

// advanceAll plans the ends of all jobs again, after rates have changed.
func (m *model) advanceAll() {
	for _, u := range m.upstreams {
		m.advance(u)
		m.schedule(u)
	}
}

func (m *model) outcome() outcomeTimes {
	// Requests that still wait count with the time until now, so that a policy cannot gain by leaving them.
	for _, u := range m.upstreams {
		for _, j := range slices.Concat(u.running, u.waiting) {
			m.record(j.arrived, m.now)
		}
	}
	slices.Sort(m.took)
	var sum time.Duration
	for _, d := range m.took {
		sum += d
	}
	return outcomeTimes{sum / time.Duration(len(m.took)), m.took[len(m.took)*99/100], m.usageErrors / m.usageSamples}
}

// sampleUsage compares what a gateway knows of the load with the truth.
func (m *model) sampleUsage() {
	truth := 0.0
	for _, u := range m.upstreams {
		truth += float64(len(u.running) + len(u.waiting))
	}
	_, held := m.gateways[m.rng.IntN(len(m.gateways))].table.Usage(UsageQuery{Service: "s"}, m.clock())
	if m.now > modelWarmup {
		m.usageErrors += math.Abs(held-truth) / float64(m.slots*len(m.upstreams))
		m.usageSamples++
	}
	m.after(100*time.Millisecond, m.sampleUsage)
}

func (m *model) record(arrived, ended time.Duration) {
	if arrived > modelWarmup {
		m.took = append(m.took, ended-arrived)
	}
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{m.now + d, m.seq, do})
}

func (m *model) clock() time.Time { return now.Add(m.now) }

// meanWork is the mean work of a request in seconds.
func (m *model) meanWork() float64 {
	if m.engine {
		return modelTokens * 0.0023
	}
	return 0.05
}

// capacity is the number of requests per second that the upstreams serve together.
func (m *model) capacity() float64 {
	sum := 0.0
	for _, u := range m.upstreams {
		slots := float64(m.slots)
		if m.kneeOf > 0 && u.number%2 == 1 {
			slots *= m.kneeOf
		}
		sum += m.speeds[u.number%len(m.speeds)] * slots / m.meanWork()
	}
	if m.engine {
		sum /= (2.27 + float64(m.slots)*0.09) / 2.3
	}
	if m.interference {
		sum *= 0.85 + 0.15/2.5
	}
	return sum
}

func (m *model) nextArrival(g *modelGateway) {
	base := m.load * m.capacity() / float64(m.scenario.gateways)
	peak := base * (1 + m.wave)
	m.after(time.Duration(m.rng.ExpFloat64()/peak*float64(time.Second)), func() {
		phase := 2 * math.Pi * (m.now.Seconds()/modelWavePeriod.Seconds() + float64(g.dc)/3)
		accepted := m.rng.Float64()*peak < base*(1+m.wave*math.Sin(phase))
		work := m.meanWork() * (0.4 + 1.2*m.rng.Float64())
		if accepted {
			m.arrive(&modelJob{gateway: g, arrived: m.now, work: work, left: work})
		}
		m.nextArrival(g)
	})
}

func (m *model) arrive(j *modelJob) {
	g := j.gateway
	picked, ok := g.table.Pick(Criteria{
		Service: "s", DataCentre: dcName(g.dc), Typical: g.request.Duration(), Distances: g.distances,
	}, m.clock())
	if !ok {
		panic("no upstream")
	}
	u := m.upstreams[slices.IndexFunc(m.upstreams, func(u *modelUpstream) bool { return u.id == picked.Instance })]
	m.after(modelDistances[g.dc][u.dc], func() {
		m.advance(u)
		u.waiting = append(u.waiting, j)
		m.fill(u)
		m.schedule(u)
	})
}
