package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client with an ID of its own.
type attempt struct {
	id, kind, program, tenant, previous string
	method, path                        string
	input                               []byte
	maxTokens                           int
	sent                                time.Time
	// events is what the worker made of it, in order.
	events []string
	runs   []run
	// status is what the client got; 0 for none. whole says that the answer came whole, and when.
	status  int
	whole   bool
	wholeAt time.Time
	ended   time.Time
	got     int
	err     string
	text    string
	// retryAfter is the header of the answer.
	retryAfter string
	// stopped is when the worker stopped working on it.
	stopped time.Time
	// gaveUp says that the client left before the end.
	gaveUp bool
	// front is the gateway that took it.
	front *Gateway
}

type run struct {
	worker string
	at     time.Time
}

// World knows all that clients sent and got and that workers ran.
type World struct {
	mu       sync.Mutex
	began    time.Time
	attempts map[string]*attempt
	// delivered counts the tokens that the clients of each program got; budgets and most what it may have.
	delivered map[string]int
	budget    map[string]int
	most      map[string]int
	broken    map[string]int
	lines     []string
	quiet     bool
	counts    map[string]int
	// frozen says that a machine stood still, so that requests may be late.
	frozen bool
	// planned says that all trouble is planned work.
	planned bool
	// givesUp says that some clients leave early.
	givesUp bool
}

func newWorld() *World {
	return &World{
		began: time.Now(), attempts: map[string]*attempt{}, delivered: map[string]int{}, budget: map[string]int{},
		most: map[string]int{}, broken: map[string]int{}, counts: map[string]int{},
	}
}

// log writes a line of the record.
func (w *World) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *World) logLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	w.lines = append(w.lines, line)
	if !w.quiet {
		fmt.Println(line)
	}
}

// breaks records a broken rule.
func (w *World) breaks(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaksLocked(rule, format, args...)
}

func (w *World) breaksLocked(rule, format string, args ...any) {
	w.broken[rule]++
	if w.broken[rule] <= 8 {
		w.logLocked("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	}
}

func (w *World) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// prompt returns what a worker should get for the attempt. The caller holds the lock.
func (w *World) prompt(a *attempt) []byte {
	var parts [][]byte
	for id := a.previous; id != ""; {
		p := w.attempts[id]
		var b bytes.Buffer
		b.Write(p.input)
		for _, e := range p.events {
			b.WriteString(e + "\n")
		}
		parts = append(parts, b.Bytes())
		id = p.previous
	}
	var out []byte
	for i := len(parts) - 1; i >= 0; i-- {
		out = append(out, parts[i]...)
	}
	return append(out, a.input...)
}

// ran records that a worker began to work on a request.
func (w *World) ran(worker, id, method, target, tenant string, body []byte) *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[id]
	if a == nil {
		w.breaksLocked("UNASKED", "worker %s ran %q, which nobody sent", worker, id)
		return nil
	}
	a.runs = append(a.runs, run{worker, time.Now()})
	if a.kind != "idempotent" && a.kind != "resumable" && len(a.runs) > 1 {
		w.breaksLocked("TWICE", "%s %s ran at %v", a.kind, id, a.runs)
	}
	if tenant != a.tenant {
		w.breaksLocked("UNASKED", "%s ran for tenant %q, not %q", id, tenant, a.tenant)
	}
	if method != a.method || target != a.path {
		w.breaksLocked("UNASKED", "%s ran as %s %s", id, method, target)
	}
	if want := w.prompt(a); !bytes.Equal(want, body) {
		w.breaksLocked("UNASKED", "%s (after %s) ran with another body:\n got %.300q\nwant %.300q", id, a.previous, body, want)
	}
	if refusal(a.status) {
		w.breaksLocked("REFUSED", "%s was answered %d and runs at %s", id, a.status, worker)
	}
	return a
}

func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421 || status == 402
}

// finish records what the client got.
func (w *World) finish(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.ended = time.Now()
	if refusal(a.status) && len(a.runs) > 0 && a.kind != "idempotent" && a.kind != "resumable" {
		w.breaksLocked("REFUSED", "%s was answered %d and ran at %v: %s", a.id, a.status, a.runs, a.text)
	}
	if a.status == 404 || a.status == 410 {
		if p := w.attempts[a.previous]; p != nil && p.whole && time.Since(p.wholeAt) < 60*time.Second {
			w.breaksLocked("LOST", "%s was answered %d, but %s was answered whole %v ago: %s", a.id, a.status, p.id,
				time.Since(p.wholeAt), a.text)
		}
	}
	if a.status >= 400 && a.status < 500 && !refusal(a.status) {
		w.breaksLocked("DENIED", "%s was answered %d: %s", a.id, a.status, a.text)
	}
	if late := a.ended.Sub(a.sent); late > routeTimeout(a.kind)+500*time.Millisecond && !w.frozen {
		w.breaksLocked("HELD", "%s (%s) had an end after %v: %d %s", a.id, a.kind, late, a.status, a.err)
	}
	if w.planned && len(a.runs) > 0 && !a.whole && (a.status == 0 || a.status == 200) && !strings.Contains(a.err, "cancel") {
		w.breaksLocked("LOST planned", "%s %s sent %.3f ran and ended after %v with %d: %s", a.kind, a.id, a.sent.Sub(w.began).Seconds(),
			a.ended.Sub(a.sent), a.status, a.err)
	}
	if w.planned && len(a.runs) == 0 && a.status == 0 && !strings.Contains(a.err, "cancel") {
		w.breaksLocked("unread", "%s %s sent %.3f ended after %v with %d: %s", a.kind, a.id, a.sent.Sub(w.began).Seconds(),
			a.ended.Sub(a.sent), a.status, a.err)
	}
	key := fmt.Sprint(a.kind, " ", a.status)
	if a.status == 200 && !a.whole {
		key += " cut"
	}
	w.counts[key]++
}

func routeTimeout(kind string) time.Duration {
	switch kind {
	case "idempotent":
		return 1500 * time.Millisecond
	case "non_idempotent":
		return 2500 * time.Millisecond
	}
	return 4 * time.Second
}

// tokens records that a client got an event of a turn.
func (w *World) tokens(program string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivered[program] += n
	if b := w.budget[program]; b > 0 && w.delivered[program] > b+w.most[program] {
		w.breaksLocked("BUDGET", "program %s got %d tokens, its budget is %d and a turn has %d at most", program,
			w.delivered[program], b, w.most[program])
	}
}

func (w *World) add(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts[a.id] = a
}

// write writes the record.
func (w *World) write(path string) {
	if path == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var b bytes.Buffer
	for _, l := range w.lines {
		b.WriteString(l + "\n")
	}
	_ = os.WriteFile(path, b.Bytes(), 0o644)
}
