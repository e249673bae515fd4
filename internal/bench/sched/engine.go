// Package sched simulates the scheduling of model calls and compares galenaward's placement and queueing with naive
// variants. Fake engines sleep on the runtime's clock, so a test in a synctest bubble simulates hours in seconds. The
// scheduling decisions are made by galenaward's own packages.
package sched

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/sched/fairq"
	"galenaward.example/galenaward/internal/sched/kvmem"
)

// Speed and size of a fake engine.
const (
	// EngineSlots is the number of calls that an engine runs concurrently.
	EngineSlots = 8
	// DecodeTime is the time for one token of an answer.
	DecodeTime = 20 * time.Millisecond
	// PrefillTime is the time for one prompt token that is not in the cache.
	PrefillTime = 500 * time.Microsecond
	// CacheTokens is the capacity of an engine's cache.
	CacheTokens = 60_000
	// ReportInterval is the time between two load reports of an engine, by which the reported load lags.
	ReportInterval = 500 * time.Millisecond
)

// Call is one model call of a program.
type Call struct {
	ID, Workspace, Program string
	Weight                 float64
	// Prompt and Answer are in tokens; TokensServed is the number of tokens that the program was served before this
	// call.
	Prompt, Answer, TokensServed int64
	queuedAt                     time.Time
	done                         chan struct{}
}

// Queue orders calls that wait for an engine.
type Queue interface {
	Push(c *Call)
	Pop() (*Call, bool)
	// Settle records the end of a call that was popped.
	Settle(c *Call)
	// PutBack requeues a call that was popped and not run.
	PutBack(c *Call)
	Len() int
}

// Engine is a fake engine with a queue of waiting calls.
type Engine struct {
	Name       string
	DataCentre string
	// Slots is the number of calls that run concurrently.
	Slots int

	mu      sync.Mutex
	queue   Queue
	running int
	cache   *cache
	memory  *kvmem.Engine
	group   errgroup.Group
}

// NewEngine returns an engine with the slots and the memory of size ordinary engines.
func NewEngine(name, dataCentre string, size int, memory int64, q Queue) *Engine {
	memory *= int64(size)
	return &Engine{
		Name: name, DataCentre: dataCentre, Slots: size * EngineSlots, queue: q, cache: newCache(memory),
		memory: kvmem.NewEngine(0),
	}
}

// Call queues the call and returns when it has run.
func (e *Engine) Call(c *Call) {
	c.done, c.queuedAt = make(chan struct{}), time.Now()
	e.mu.Lock()
	e.queue.Push(c)
	e.startWaiting()
	e.mu.Unlock()
	<-c.done
}

// startWaiting starts waiting calls while slots are free. Calls of programs that must wait for memory stay queued. The
// caller holds the lock.
func (e *Engine) startWaiting() {
	var deferred []*Call
	for e.running < e.Slots {
		c, ok := e.queue.Pop()
		if !ok {
			break
		}
		if now := time.Now(); !e.memory.Admits(c.Workspace, c.Program, c.Prompt, now) &&
			now.Sub(c.queuedAt) < kvmem.MaxWait {
			deferred = append(deferred, c)
			continue
		}
		e.memory.CallStarted(c.Workspace, c.Program, c.Prompt)
		e.running++
		uncached := e.cache.use(c.Program, c.Prompt)
		e.group.Go(func() error {
			time.Sleep(time.Duration(uncached)*PrefillTime + time.Duration(c.Answer)*DecodeTime)
			e.finish(c)
			return nil
		})
	}
	for _, c := range deferred {
		e.queue.PutBack(c)
	}
}

func (e *Engine) finish(c *Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.cache.grow(c.Program, c.Answer)
	e.memory.CallEnded(c.Program, c.Prompt+c.Answer, time.Now())
	e.queue.Settle(c)
	close(c.done)
	e.startWaiting()
}

// Load returns the numbers of running and queued calls.
func (e *Engine) Load() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.queue.Len()
}

// EndProgram drops the program from the cache and frees its memory.
func (e *Engine) EndProgram(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.drop(program)
	e.memory.RemoveProgram(program)
	e.startWaiting()
}

// CachedTokens returns the number of the program's tokens that are cached.
func (e *Engine) CachedTokens(program string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.tokens(program)
}

// fifo is a queue that serves calls in the order of their arrival.
type fifo struct{ calls []*Call }

func (f *fifo) Push(c *Call) { f.calls = append(f.calls, c) }
func (f *fifo) Settle(*Call) {}
func (f *fifo) Len() int     { return len(f.calls) }

// PutBack adds the call at the end.
func (f *fifo) PutBack(c *Call) { f.Push(c) }

// Pop returns the oldest call.
func (f *fifo) Pop() (*Call, bool) {
	if len(f.calls) == 0 {
		return nil, false
	}
	c := f.calls[0]
	f.calls = f.calls[1:]
	return c, true
}

// fair adapts galenaward's fair queue.
type fair struct {
	// newestFirst serves the program with the least attained service of a workspace first instead of the most.
	newestFirst bool
	q           *fairq.Queue[*Call]
	items       map[*Call]fairq.Item[*Call]
}

func newFair(newestFirst bool) *fair {
	return &fair{
		newestFirst: newestFirst, q: fairq.NewQueue[*Call](10 * time.Second), items: make(map[*Call]fairq.Item[*Call]),
	}
}

// Push adds a call; its expected cost is the length of its answer.
func (f *fair) Push(c *Call) {
	it := fairq.Item[*Call]{
		ID: c.ID, Workspace: c.Workspace, Program: c.Program, Weight: c.Weight, TokensServed: c.TokensServed,
		Cost: c.Answer, QueuedAt: time.Now(), Value: c,
	}
	if f.newestFirst {
		it.TokensServed = -it.TokensServed
	}
	f.items[c] = it
	f.q.Push(it)
}

// Pop returns the call to run next.
func (f *fair) Pop() (*Call, bool) {
	it, ok := f.q.Pop(time.Now())
	return it.Value, ok
}

// Settle charges the workspace for a call that has ended.
func (f *fair) Settle(c *Call) {
	f.q.Settle(f.items[c], c.Answer)
	delete(f.items, c)
}

// PutBack requeues a call that was popped and not run.
func (f *fair) PutBack(c *Call) { f.q.PutBack(f.items[c]) }

// Len returns the number of waiting calls.
func (f *fair) Len() int { return f.q.Len() }
