// Package engine is a stand-in for a model engine. It serves chat completions as server-sent events, resumes streams,
// lists and releases its prefix cache by program, and executes orders with fencing numbers.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/state/prog"
)

// readerTimeout is how long a stream without readers continues to generate.
const readerTimeout = 3 * time.Second

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	opts Options
	mux  *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	cache   map[string]*Residency
	orders  []Order
	fence   int64
	down    bool
	deaths  int
	// priorities are the priorities of requests, in order of arrival.
	priorities []Priority
	headers    []http.Header
	served     int
	prefilled  int64
	models     []string
	loads      errgroup.Group
}

// Residency is the prefix cache of one program.
type Residency struct {
	Program string `json:"program"`
	Tokens  int64  `json:"tokens"`
	Calls   int64  `json:"calls"`
}

// Priority is the priority of a request.
type Priority struct {
	Program string
	Value   int64
}

// Priorities returns the priorities of the requests that had one, in order of arrival.
func (e *Engine) Priorities() []Priority {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.priorities)
}

// Order is an order that the engine executed.
type Order struct {
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
}

// New returns a running engine.
func New(o Options) *Engine {
	e := &Engine{opts: o, mux: http.NewServeMux(), streams: make(map[string]*stream), cache: make(map[string]*Residency)}
	e.models = slices.Clone(o.Models)
	e.mux.HandleFunc("GET /v1/models", e.listModels)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/chat/completions/{id}", e.resume)
	e.mux.HandleFunc("GET /kv", e.listCache)
	e.mux.HandleFunc("DELETE /kv/{program}", e.releaseCache)
	e.mux.HandleFunc("POST /orders", e.executeOrder)
	e.mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(struct {
			Orders []Order `json:"orders"`
		}{e.Orders()})
	})
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return e
}

// ServeHTTP serves the engine's protocol. A crashed engine closes every connection without a response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Down reports whether the engine has crashed and not restarted.
func (e *Engine) Down() bool { return e.isDown() }

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// SetDown makes the engine crash, which clears its cache and streams, or restart.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	if down {
		e.deaths++
		e.cache = make(map[string]*Residency)
		e.streams = make(map[string]*stream)
	}
}

// Crashes returns how many times the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deaths
}

// watchCrash returns a function that reports whether the engine has crashed since watchCrash was called.
func (e *Engine) watchCrash() func() bool {
	before := e.Crashes()
	return func() bool { return e.Crashes() != before }
}

// Headers returns the headers of the completion requests.
func (e *Engine) Headers() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.headers)
}

// CompletionsStarted returns the number of completions started.
func (e *Engine) CompletionsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// PrefilledTokens returns the total number of prompt tokens that were not in the cache.
func (e *Engine) PrefilledTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefilled
}

// Residencies returns the residencies, sorted by program.
func (e *Engine) Residencies() []Residency {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Residency, 0, len(e.cache))
	for _, r := range e.cache {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Residency) int { return strings.Compare(a.Program, b.Program) })
	return out
}

// Orders returns the executed orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

type request struct {
	Model     string         `json:"model"`
	Messages  []prog.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Continue  bool           `json:"continue_final_message"`
	Priority  *int64         `json:"priority"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.serves(q.Model) {
		http.Error(w, fmt.Sprintf("model %q is not loaded", q.Model), http.StatusNotFound)
		return
	}
	if e.crashOnPrompt(q) {
		panic(http.ErrAbortHandler)
	}
	crashed := e.watchCrash()
	s := e.startStream(r, q)
	s.serve(w, r, 0, crashed)
}

// crashOnPrompt crashes the engine if the prompt contains Options.CrashPrompt, and reports whether it did.
func (e *Engine) crashOnPrompt(q request) bool {
	if e.opts.CrashPrompt == "" {
		return false
	}
	for _, m := range q.Messages {
		if !strings.Contains(string(m.Content), e.opts.CrashPrompt) {
			continue
		}
		e.SetDown(true)
		if e.opts.RestartImmediately {
			e.SetDown(false)
		}
		if e.opts.OnCrash != nil {
			e.opts.OnCrash()
		}
		return true
	}
	return false
}

// startStream starts generating the completion in the background.
func (e *Engine) startStream(r *http.Request, q request) *stream {
	program := r.Header.Get("Galenaward-Program")
	s := newStream(q, e.opts, e.updateCache(program, q))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headers = append(e.headers, r.Header.Clone())
	e.served++
	if q.Priority != nil {
		e.priorities = append(e.priorities, Priority{Program: program, Value: *q.Priority})
	}
	e.streams[r.Header.Get("X-Request-Id")] = s
	s.start()
	return s
}

// updateCache records the prompt in the program's cache and returns the number of tokens to prefill.
func (e *Engine) updateCache(program string, q request) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := promptTokens(q.Messages)
	res, ok := e.cache[program]
	if !ok {
		res = &Residency{Program: program}
		e.cache[program] = res
	}
	fresh := max(0, total-res.Tokens)
	res.Tokens = total
	res.Calls++
	e.prefilled += fresh
	return fresh
}

// promptTokens estimates one token per four bytes, the average for plain text, and four per message.
func promptTokens(ms []prog.Message) int64 {
	var n int64
	for _, m := range ms {
		n += int64(len(m.Content))/4 + 4
	}
	return n
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, "parameter from is not a valid position", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	s.serve(w, r, from, e.watchCrash())
}

func (e *Engine) listCache(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(struct {
		Residencies []Residency `json:"residencies"`
	}{e.Residencies()})
}

func (e *Engine) releaseCache(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cache, r.PathValue("program"))
}

func (e *Engine) executeOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence <= e.fence {
		http.Error(w, fmt.Sprintf("fencing number %d is not greater than %d", o.Fence, e.fence), http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	e.updateModels(o)
}
