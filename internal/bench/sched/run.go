package sched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/sched/kvmem"
	"galenaward.example/galenaward/internal/sched/member"
	"galenaward.example/galenaward/internal/sched/route"
)

// Variant is a combination of placement and queueing.
type Variant struct {
	Name     string
	NewQueue func() Queue
	// Place returns the engine for a call of a program whose first call ran on home. For the first call, home is nil.
	Place func(s *Simulation, home *Engine) *Engine
	// Policy is used by Place.
	Policy route.Policy
	// LimitsMemory makes new programs wait while the engine's memory is full.
	LimitsMemory bool
}

// Names of the variants that tests look up.
const (
	nameProduct       = "galenaward"
	nameFirstVersion  = "galenaward, first version"
	nameMemoryUnknown = "galenaward, engine memory unknown"
)

// Variants returns the naive variants and galenaward's own.
func Variants() []Variant {
	newFIFO := func() Queue { return &fifo{} }
	newFairQueue := func() Queue { return newFair(false) }
	policy := route.DefaultPolicy()
	firstPolicy := policy
	firstPolicy.CacheMissPenalty = 1
	return []Variant{
		{Name: "round robin, first come first served", NewQueue: newFIFO, Place: roundRobin},
		{Name: "least connections, first come first served", NewQueue: newFIFO, Place: leastConnections},
		{Name: "home affinity, first come first served", NewQueue: newFIFO, Place: productPlacement, Policy: policy},
		{
			Name: nameFirstVersion, NewQueue: func() Queue { return newFair(true) }, Place: productPlacement,
			Policy: firstPolicy,
		},
		{Name: nameMemoryUnknown, NewQueue: newFairQueue, Place: productPlacement, Policy: policy},
		{Name: nameProduct, NewQueue: newFairQueue, Place: productPlacement, Policy: policy, LimitsMemory: true},
	}
}

// entryCount is the number of entries. Each is in its own data centre.
const entryCount = 4

// dataCentre returns the name of the data centre of the i-th entry or engine.
func dataCentre(i int) string { return fmt.Sprint("dc-", i%entryCount) }

// Simulation runs a load with a variant.
type Simulation struct {
	engines []*Engine
	byName  map[string]*Engine
	policy  route.Policy
	rng     *rand.Rand

	mu         sync.Mutex
	nextEngine int
	// tables holds the membership table of each entry. Of the requests since the last report, it counts only the
	// entry's own.
	tables []member.Table
	// currentEntry is the index of the entry that places the current call.
	currentEntry int
	// recomputedTokens counts the prompt tokens that some engine had cached and the engine of the call had not, of all
	// promptTokens.
	recomputedTokens, promptTokens int64
	latencies                      map[string][]time.Duration
	// remoteCalls counts the calls that ran in another data centre than the caller's, of all calls.
	remoteCalls, calls int
}

func roundRobin(s *Simulation, _ *Engine) *Engine {
	s.nextEngine++
	return s.engines[s.nextEngine%len(s.engines)]
}

// leastConnections picks the engine with the fewest calls by the last reports, which lag, as a naive load balancer
// does.
func leastConnections(s *Simulation, _ *Engine) *Engine {
	best := s.liveNodes()[0]
	for _, n := range s.liveNodes() {
		if n.Running+n.Queued < best.Running+best.Queued {
			best = n
		}
	}
	return s.byName[best.VM]
}

// productPlacement picks the engine by galenaward's routing policy.
func productPlacement(s *Simulation, home *Engine) *Engine {
	var n member.Node
	if home == nil {
		n, _ = s.policy.Pick(s.liveNodes(), dataCentre(s.currentEntry), s.rng)
	} else {
		n = s.policy.Order(s.liveNodes(), home.Name, dataCentre(s.currentEntry), 1, s.rng)[0]
	}
	s.tables[s.currentEntry] = s.tables[s.currentEntry].WithSent(n.Instance)
	return s.byName[n.VM]
}

func (s *Simulation) liveNodes() []member.Node {
	return s.tables[s.currentEntry].Alive(time.Now(), func(member.Node) bool { return true })
}

// Simulate runs the load and returns the measurements. It sleeps for the length of the load, so it must run where the
// clock can be paused, as in a synctest bubble.
func Simulate(l Load, v Variant, seed uint64) *Result {
	s := &Simulation{
		byName: make(map[string]*Engine), policy: v.Policy, rng: rand.New(rand.NewPCG(seed, 1)),
		tables: make([]member.Table, entryCount), latencies: make(map[string][]time.Duration),
	}
	for i := range l.Engines {
		e := NewEngine(
			fmt.Sprint("engine-", i), dataCentre(i), max(1, l.Size), cmp.Or(l.Memory, CacheTokens), v.NewQueue())
		if v.LimitsMemory {
			e.memory = kvmem.NewEngine(e.cache.limit)
		}
		s.engines = append(s.engines, e)
		s.byName[e.Name] = e
	}
	stop := make(chan struct{})
	var g, reports errgroup.Group
	s.reportLoads()
	reports.Go(func() error { return s.reportUntil(stop) })
	for _, p := range l.generatePlans(seed) {
		g.Go(func() error {
			s.runProgram(p, v)
			return nil
		})
	}
	_ = g.Wait()
	close(stop)
	_ = reports.Wait()
	return s.result()
}

func (s *Simulation) reportUntil(stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(ReportInterval):
			s.reportLoads()
		}
	}
}

func (s *Simulation) reportLoads() {
	for _, e := range s.engines {
		running, queued := e.Load()
		s.mu.Lock()
		for i, t := range s.tables {
			t.TTL = time.Hour
			s.tables[i] = t.WithReport(member.Node{
				VM: e.Name, Instance: e.Name, DataCentre: e.DataCentre, Running: running, Queued: queued,
				Capacity: e.Slots, Up: true, LastReport: time.Now(),
			})
		}
		s.mu.Unlock()
	}
}

// runProgram runs the calls of one program in sequence and records the time spent in them.
func (s *Simulation) runProgram(p plan, v Variant) {
	time.Sleep(p.begin)
	var home *Engine
	// heldTokens is the number of the program's tokens that some engine has cached.
	var history, tokensServed, heldTokens int64
	var callTime time.Duration
	for i, t := range p.turns {
		history += t.prompt
		s.mu.Lock()
		s.currentEntry = p.entry(s.rng)
		e := v.Place(s, home)
		s.calls++
		if e.DataCentre != dataCentre(s.currentEntry) {
			s.remoteCalls++
		}
		s.recomputedTokens += max(0, heldTokens-e.CachedTokens(p.id))
		s.promptTokens += history
		s.mu.Unlock()
		if home == nil {
			home = e
		}
		c := &Call{
			ID: fmt.Sprint(p.id, ".", i), Workspace: p.workspace, Program: p.id, Weight: p.weight,
			Prompt: history, Answer: t.answer, TokensServed: tokensServed,
		}
		start := time.Now()
		e.Call(c)
		callTime += time.Since(start)
		history += t.answer
		heldTokens = history
		tokensServed += t.answer
		if i < len(p.turns)-1 {
			time.Sleep(t.pause)
		}
	}
	for _, e := range s.engines {
		e.EndProgram(p.id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies[p.workspace] = append(s.latencies[p.workspace], callTime)
}
