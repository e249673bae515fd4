package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// eventTokens is the number of tokens of an event: `chunkTokens` of the configuration.
const eventTokens = 10

// run is a request that a worker began to work on.
type run struct {
	at         time.Time
	worker, id string
	bytes      int
}

// worker is a model worker as PROTOCOL.md describes it. The newest input of a turn ends with "events=N pause=MS;".
type worker struct {
	id, service, address string
	store                *store
	born                 int64

	mu      sync.Mutex
	active  int
	leaving bool
	runs    []run
}

func newWorker(s *store, id, service string) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, address: ln.Addr().String(), store: s, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(ln, w) }()
	w.announce(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			w.announce(n)
		}
	}()
	return w, nil
}

// announce writes the worker's entry. The write fails while the store is down, as that of the report that it drains.
func (w *worker) announce(sequence int) {
	state := "ready"
	if w.isLeaving() {
		state = "draining"
	}
	w.store.put("keyed.servers", w.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":12,"state":%q,"coldLeftMs":0,"sequence":%d,"born":%d}`,
		w.service, w.address, state, sequence, w.born))
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// leave begins a planned shutdown: the worker serves on and says in all answers that it leaves.
func (w *worker) leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("X-Galenaward-Expect-Instance"); e != "" && e != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Galenaward-Request-Id")
	w.mu.Lock()
	w.runs = append(w.runs, run{time.Now(), w.id, id, len(body)})
	w.active++
	load := fmt.Sprintf("%d,0,12", w.active)
	if w.leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	events, pause := 1, 0
	if i := strings.LastIndex(string(body), "events="); i >= 0 {
		_, _ = fmt.Sscanf(string(body[i:]), "events=%d pause=%d;", &events, &pause)
	}
	h := rw.Header()
	h.Set("X-Galenaward-Request-Id", id)
	h.Set("X-Galenaward-Server-Signature", "sig-"+id)
	h.Set("X-Galenaward-Server-Load", load)
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	for i := range events {
		select {
		case <-time.After(time.Duration(pause) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		if rc.Flush() != nil {
			return
		}
	}
}

// runsOf returns the runs of the request at the workers.
func runsOf(ws []*worker, id string) []run {
	var out []run
	for _, w := range ws {
		w.mu.Lock()
		for _, r := range w.runs {
			if r.id == id {
				out = append(out, r)
			}
		}
		w.mu.Unlock()
	}
	return out
}
