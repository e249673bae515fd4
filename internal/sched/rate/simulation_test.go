package rate

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Parameters of the simulated deployment: many gateways, each of which sees a given workspace only once every few
// seconds.
const (
	modelGateways      = 84
	modelWorkspaces    = 140
	modelDuration      = 60 * time.Second
	modelOneWayLatency = 5400 * time.Microsecond // One way to the allocator.
	// modelHeadroom is the ratio of a workspace's rate to its usual demand.
	modelHeadroom = 1.6
)

// simEvent is a scheduled event of the simulation.
type simEvent struct {
	at  time.Time
	run func()
}

type eventQueue []simEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation holds the simulated gateways and allocator.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	queue     eventQueue
	gateways  []Borrower
	calls     [][]*call
	allocator Allocator
	// central is the reference: the same rate allocated without network latency.
	central Allocator
	// lossRate is the fraction of messages that get no answer.
	lossRate float64

	arrivals, messages, refused, centralRefused int
	waits                                       []time.Duration
	spent                                       []time.Time
}

// call waits at a gateway for its token.
type call struct {
	gateway int
	arrived time.Time
	after   func()
	done    bool
}

func newSimulation(seed uint64, q Quota) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 5)), now: noon, gateways: make([]Borrower, modelGateways),
		calls: make([][]*call, modelGateways),
	}
	s.allocator, s.central = NewAllocator(q, q.Burst, noon), NewAllocator(q, q.Burst, noon)
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&s.queue, simEvent{s.now.Add(d), run})
}

func (s *simulation) runUntil(until time.Time) {
	for len(s.queue) > 0 && s.queue[0].at.Before(until) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
}

// sendProgram sends a program's requests one after another through one gateway, sometimes two at once, and
// occasionally through another gateway.
func (s *simulation) sendProgram(left, gateway int) {
	if s.rng.IntN(20) == 0 {
		gateway = s.rng.IntN(modelGateways)
	}
	width := 1 + s.rng.IntN(2)
	for i := range min(width, left) {
		after := func() {}
		if i == 0 && left > width {
			after = func() {
				s.schedule(time.Duration(150+s.rng.IntN(300))*time.Millisecond, func() { s.sendProgram(left-width, gateway) })
			}
		}
		s.sendCall(gateway, after)
	}
}

func (s *simulation) sendCall(gateway int, after func()) {
	s.arrivals++
	var g Grant
	s.central, g = s.central.Grant(TokenRequest{Waiting: 1}, s.now)
	s.centralRefused += g.Refused
	s.gateways[gateway] = s.gateways[gateway].WithArrival(s.now)
	if b, ok := s.gateways[gateway].Take(s.now); ok {
		s.gateways[gateway] = b
		s.serve(&call{gateway: gateway, arrived: s.now, after: after})
		if b.ShouldPrefetch(s.now) {
			s.requestTokens(gateway)
		}
		return
	}
	s.calls[gateway] = append(s.calls[gateway], &call{gateway: gateway, arrived: s.now, after: after})
	s.gateways[gateway] = s.gateways[gateway].WithWaiting(1)
	s.requestTokens(gateway)
}

func (s *simulation) serve(c *call) {
	c.done = true
	s.spent = append(s.spent, s.now)
	s.waits = append(s.waits, s.now.Sub(c.arrived))
	c.after()
}

// requestTokens sends one message to the allocator and processes its answer.
func (s *simulation) requestTokens(gateway int) {
	asked := s.now
	var r TokenRequest
	s.gateways[gateway], r = s.gateways[gateway].NextRequest(1, s.now)
	if r.Empty() {
		return
	}
	s.messages++
	waiting := slices.Clone(s.calls[gateway])
	if s.rng.Float64() < s.lossRate {
		s.schedule(250*time.Millisecond, func() {
			s.gateways[gateway] = s.gateways[gateway].WithFailedRequest(r)
			s.requestTokens(gateway)
		})
		return
	}
	s.schedule(modelOneWayLatency, func() {
		var g Grant
		s.allocator, g = s.allocator.Grant(r, s.now)
		s.schedule(modelOneWayLatency, func() {
			s.gateways[gateway] = s.gateways[gateway].WithGrant(r, g, 1, asked, s.now)
			for _, c := range waiting[max(0, len(waiting)-g.Refused):] {
				s.refuse(c)
			}
			s.serveWaiting(gateway)
		})
	})
}

func (s *simulation) refuse(c *call) {
	if c.done {
		return
	}
	c.done = true
	s.refused++
	s.dequeue(c)
}

func (s *simulation) dequeue(c *call) {
	s.calls[c.gateway] = slices.DeleteFunc(s.calls[c.gateway], func(o *call) bool { return o == c })
	s.gateways[c.gateway] = s.gateways[c.gateway].WithWaiting(-1)
}

// serveWaiting serves the calls whose tokens have become valid.
func (s *simulation) serveWaiting(gateway int) {
	for len(s.calls[gateway]) > 0 {
		b, ok := s.gateways[gateway].Take(s.now)
		if !ok {
			if next, more := s.gateways[gateway].NextTokenAt(s.now); more {
				s.schedule(next.Sub(s.now), func() { s.serveWaiting(gateway) })
			} else {
				s.requestTokens(gateway)
			}
			return
		}
		s.gateways[gateway] = b
		c := s.calls[gateway][0]
		s.dequeue(c)
		s.serve(c)
	}
}

// checkWindow checks the rate limit in every window of five seconds.
func checkWindow(t *testing.T, spent []time.Time, q Quota) {
	t.Helper()
	const window = 5
	most := int((q.Rate*window+q.Burst)*1.1 + 20)
	first := 0
	for i, at := range spent {
		for at.Sub(spent[first]) > window*time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			t.Fatalf("%d calls in a window, at most %d", n, most)
		}
	}
}

// TestManyGatewaysWithLowTraffic simulates a large deployment: 140 workspaces, most of them small, whose calls arrive
// at 84 gateways. Calls below the limit must neither be refused nor wait noticeably for their token.
func TestManyGatewaysWithLowTraffic(t *testing.T) {
	is := is.New(t)
	var asked, messages, refused, central int
	var waits []time.Duration
	for w := range modelWorkspaces {
		q := Quota{Rate: 5, Burst: 5}
		if w%20 == 0 {
			q = Quota{Rate: 120, Burst: 120}
		}
		s := newSimulation(uint64(w), q)
		var start func()
		const requests = 9
		start = func() {
			s.sendProgram(requests-3+s.rng.IntN(7), s.rng.IntN(modelGateways))
			s.schedule(time.Duration(s.rng.ExpFloat64()*float64(time.Second)*requests*modelHeadroom/q.Rate), start)
		}
		s.schedule(0, start)
		s.runUntil(noon.Add(modelDuration))
		checkWindow(t, s.spent, q)
		asked, messages, refused, central = asked+s.arrivals, messages+s.messages, refused+s.refused, central+s.centralRefused
		waits = append(waits, s.waits...)
	}
	slices.Sort(waits)
	t.Logf("%d calls, %d refused, %d by the central reference, %.2f messages a call, waits p50 %v p90 %v p99 %v",
		asked, refused, central, float64(messages)/float64(asked),
		waits[len(waits)/2], waits[len(waits)*9/10], waits[len(waits)*99/100])
	is.True(refused-central <= asked/1000)
	is.True(waits[len(waits)/2] < 20*time.Millisecond)
	is.True(float64(messages)/float64(asked) < 1.1)
}

// TestTokenWaitIsOneRoundTrip simulates workspaces well below their limit, whose calls wait only for the round trip
// to the allocator.
func TestTokenWaitIsOneRoundTrip(t *testing.T) {
	is := is.New(t)
	var waits []time.Duration
	for seed := range uint64(20) {
		q := Quota{Rate: 20, Burst: 20}
		s := newSimulation(seed, q)
		var start func()
		start = func() {
			s.sendProgram(9, s.rng.IntN(modelGateways))
			s.schedule(time.Duration(s.rng.ExpFloat64()*float64(2*time.Second)), start)
		}
		s.schedule(0, start)
		s.runUntil(noon.Add(modelDuration))
		is.Equal(s.refused, 0)
		waits = append(waits, s.waits...)
	}
	slices.Sort(waits)
	is.True(waits[len(waits)*99/100] < 20*time.Millisecond)
}

// TestRateLimitHoldsUnderOverload simulates a workspace that sends four times its rate through all gateways while
// messages are lost and the allocator is replaced several times.
func TestRateLimitHoldsUnderOverload(t *testing.T) {
	for seed := range uint64(20) {
		q := Quota{Rate: 40, Burst: 40}
		s := newSimulation(seed, q)
		s.lossRate = 0.1
		var start func()
		start = func() {
			s.sendCall(s.rng.IntN(modelGateways), func() {})
			s.schedule(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/(4*q.Rate)), start)
		}
		s.schedule(0, start)
		for i := range 5 {
			s.schedule(time.Duration(i+1)*7*time.Second, func() { s.allocator = NewAllocator(q, 0, s.now) })
		}
		s.runUntil(noon.Add(modelDuration))
		checkWindow(t, s.spent, q)
		if use := float64(len(s.spent)) / modelDuration.Seconds(); use < 0.85*q.Rate {
			t.Fatalf("seed %d: %.1f calls a second of %v were served", seed, use, q.Rate)
		}
	}
}

// TestCallsThatCannotWaitAreRefused asks for tokens for calls with little time left. They must be refused
// immediately, and their tokens stay available to others.
func TestCallsThatCannotWaitAreRefused(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(Quota{Rate: 10, Burst: 10}, 0, noon)
	a, g := a.Grant(TokenRequest{Waiting: 5, MaxWaitMS: 250}, noon)
	is.Equal(len(g.Waits), 2)
	is.Equal(g.Refused, 3)
	is.True(g.RetryAfterMS >= 300)
	_, g = a.Grant(TokenRequest{Waiting: 1}, noon)
	is.Equal(len(g.Waits), 1)
	is.True(g.Waits[0] < 301)
}
