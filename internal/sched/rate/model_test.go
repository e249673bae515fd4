package rate

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The deployment that the model plays: many gateways, each of which sees most workspaces once in seconds.
const (
	modelGateways   = 84
	modelWorkspaces = 140
	modelTime       = 60 * time.Second
	modelWay        = 5400 * time.Microsecond // One way to the keeper.
	// modelRoom is how much higher than a workspace's usual demand its rate is.
	modelRoom = 1.6
)

// event is something that happens in the model.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// fleet is the model's state.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	queue  events
	purses []Purse
	calls  [][]*call
	keeper Keeper
	// central is the same rate in one place without any way.
	central Keeper
	// lost is the share of the messages that get no answer.
	lost float64

	asked, messages, refused, centralRefused int
	waits                                    []time.Duration
	spent                                    []time.Time
}

// call waits at a gateway for its token.
type call struct {
	gateway int
	arrived time.Time
	after   func()
	done    bool
}

func newModel(seed uint64, q Quota) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 5)), now: noon, purses: make([]Purse, modelGateways),
		calls: make([][]*call, modelGateways),
	}
	f.keeper, f.central = NewKeeper(q, q.Burst, noon), NewKeeper(q, q.Burst, noon)
	return f
}

func (f *fleet) later(d time.Duration, run func()) { heap.Push(&f.queue, event{f.now.Add(d), run}) }

func (f *fleet) play(until time.Time) {
	for len(f.queue) > 0 && f.queue[0].at.Before(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
}

// program sends requests one after another through one gateway, sometimes two at once, now and then through another one.
func (f *fleet) program(left, gateway int) {
	if f.rng.IntN(20) == 0 {
		gateway = f.rng.IntN(modelGateways)
	}
	width := 1 + f.rng.IntN(2)
	for i := range min(width, left) {
		after := func() {}
		if i == 0 && left > width {
			after = func() {
				f.later(time.Duration(150+f.rng.IntN(300))*time.Millisecond, func() { f.program(left-width, gateway) })
			}
		}
		f.arrive(gateway, after)
	}
}

func (f *fleet) arrive(gateway int, after func()) {
	f.asked++
	var g Grant
	f.central, g = f.central.Grant(Ask{Waiting: 1}, f.now)
	f.centralRefused += g.Refused
	f.purses[gateway] = f.purses[gateway].WithArrival(f.now)
	if p, ok := f.purses[gateway].Take(f.now); ok {
		f.purses[gateway] = p
		f.serve(&call{gateway: gateway, arrived: f.now, after: after})
		if p.Low(f.now) {
			f.ask(gateway)
		}
		return
	}
	f.calls[gateway] = append(f.calls[gateway], &call{gateway: gateway, arrived: f.now, after: after})
	f.purses[gateway] = f.purses[gateway].WithWaiting(1)
	f.ask(gateway)
}

func (f *fleet) serve(c *call) {
	c.done = true
	f.spent = append(f.spent, f.now)
	f.waits = append(f.waits, f.now.Sub(c.arrived))
	c.after()
}

// ask sends one message to the keeper and takes its answer.
func (f *fleet) ask(gateway int) {
	asked := f.now
	var a Ask
	f.purses[gateway], a = f.purses[gateway].Ask(1, f.now)
	if a.Empty() {
		return
	}
	f.messages++
	waiting := slices.Clone(f.calls[gateway])
	if f.rng.Float64() < f.lost {
		f.later(250*time.Millisecond, func() {
			f.purses[gateway] = f.purses[gateway].Failed(a)
			f.ask(gateway)
		})
		return
	}
	f.later(modelWay, func() {
		var g Grant
		f.keeper, g = f.keeper.Grant(a, f.now)
		f.later(modelWay, func() {
			f.purses[gateway] = f.purses[gateway].Credit(a, g, 1, asked, f.now)
			for _, c := range waiting[max(0, len(waiting)-g.Refused):] {
				f.refuse(c)
			}
			f.wake(gateway)
		})
	})
}

func (f *fleet) refuse(c *call) {
	if c.done {
		return
	}
	c.done = true
	f.refused++
	f.leave(c)
}

func (f *fleet) leave(c *call) {
	f.calls[c.gateway] = slices.DeleteFunc(f.calls[c.gateway], func(o *call) bool { return o == c })
	f.purses[c.gateway] = f.purses[c.gateway].WithWaiting(-1)
}

// wake serves the calls whose tokens have come.
func (f *fleet) wake(gateway int) {
	for len(f.calls[gateway]) > 0 {
		p, ok := f.purses[gateway].Take(f.now)
		if !ok {
			if next, more := f.purses[gateway].Next(f.now); more {
				f.later(next.Sub(f.now), func() { f.wake(gateway) })
			} else {
				f.ask(gateway)
			}
			return
		}
		f.purses[gateway] = p
		c := f.calls[gateway][0]
		f.leave(c)
		f.serve(c)
	}
}

// checkWindow checks the promise of rates over every window of five seconds.
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

// TestManyGatewaysWithLittleTrafficEach is the pattern of a large deployment: 140 workspaces, most of them small, whose
// calls come to 84 gateways. Calls must not be refused below the limit, nor wait for their token.
func TestManyGatewaysWithLittleTrafficEach(t *testing.T) {
	is := is.New(t)
	var asked, messages, refused, central int
	var waits []time.Duration
	for w := range modelWorkspaces {
		q := Quota{Rate: 5, Burst: 5}
		if w%20 == 0 {
			q = Quota{Rate: 120, Burst: 120}
		}
		f := newModel(uint64(w), q)
		var begin func()
		const requests = 9
		begin = func() {
			f.program(requests-3+f.rng.IntN(7), f.rng.IntN(modelGateways))
			f.later(time.Duration(f.rng.ExpFloat64()*float64(time.Second)*requests*modelRoom/q.Rate), begin)
		}
		f.later(0, begin)
		f.play(noon.Add(modelTime))
		checkWindow(t, f.spent, q)
		asked, messages, refused, central = asked+f.asked, messages+f.messages, refused+f.refused, central+f.centralRefused
		waits = append(waits, f.waits...)
	}
	slices.Sort(waits)
	t.Logf("%d calls, %d refused, %d in one place, %.2f messages a call, waits p50 %v p90 %v p99 %v",
		asked, refused, central, float64(messages)/float64(asked), waits[len(waits)/2], waits[len(waits)*9/10], waits[len(waits)*99/100])
	is.True(refused-central <= asked/1000)
	is.True(waits[len(waits)/2] < 20*time.Millisecond)
	is.True(float64(messages)/float64(asked) < 1.1)
}

// TestWaitForAToken plays workspaces with room to spare, so that only the way to the keeper is left to wait for.
func TestWaitForAToken(t *testing.T) {
	is := is.New(t)
	var waits []time.Duration
	for seed := range uint64(20) {
		q := Quota{Rate: 20, Burst: 20}
		f := newModel(seed, q)
		var begin func()
		begin = func() {
			f.program(9, f.rng.IntN(modelGateways))
			f.later(time.Duration(f.rng.ExpFloat64()*float64(2*time.Second)), begin)
		}
		f.later(0, begin)
		f.play(noon.Add(modelTime))
		is.Equal(f.refused, 0)
		waits = append(waits, f.waits...)
	}
	slices.Sort(waits)
	is.True(waits[len(waits)*99/100] < 20*time.Millisecond)
}

// TestWindowHoldsUnderOverload is the pattern of a workspace that sends four times its rate through all gateways while
// messages are lost and the keeper dies.
func TestWindowHoldsUnderOverload(t *testing.T) {
	for seed := range uint64(20) {
		q := Quota{Rate: 40, Burst: 40}
		f := newModel(seed, q)
		f.lost = 0.1
		var begin func()
		begin = func() {
			f.arrive(f.rng.IntN(modelGateways), func() {})
			f.later(time.Duration(f.rng.ExpFloat64()*float64(time.Second)/(4*q.Rate)), begin)
		}
		f.later(0, begin)
		for i := range 5 {
			f.later(time.Duration(i+1)*7*time.Second, func() { f.keeper = NewKeeper(q, 0, f.now) })
		}
		f.play(noon.Add(modelTime))
		checkWindow(t, f.spent, q)
		if use := float64(len(f.spent)) / modelTime.Seconds(); use < 0.85*q.Rate {
			t.Fatalf("seed %d: %.1f calls a second of %v were served", seed, use, q.Rate)
		}
	}
}

// TestNoCallWaitsLongerThanItCan asks for calls that have little time left. They are refused at once, and their tokens
// stay for others.
func TestNoCallWaitsLongerThanItCan(t *testing.T) {
	is := is.New(t)
	k := NewKeeper(Quota{Rate: 10, Burst: 10}, 0, noon)
	k, g := k.Grant(Ask{Waiting: 5, LongestMS: 250}, noon)
	is.Equal(len(g.Waits), 2)
	is.Equal(g.Refused, 3)
	is.True(g.RetryAfterMS >= 300)
	_, g = k.Grant(Ask{Waiting: 1}, noon)
	is.Equal(len(g.Waits), 1)
	is.True(g.Waits[0] < 301)
}
