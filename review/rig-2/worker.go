package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const chunkTokens = 10

// Worker is a stand-in of a model worker or of a plain service.
type Worker struct {
	world   *World
	store   *Store
	id      string
	address string
	service string
	zone    string
	slots   int
	born    int64

	mu       sync.Mutex
	running  int
	sequence int
	gone     bool
	draining bool
	pace     time.Duration
	// cut is the share of the answers that break off, fail the share that ends with a status of 500.
	cut, fail float64
	stop      chan struct{}
	srv       *http.Server
}

func startWorker(w *World, s *Store, service, id, address, zone string, slots int) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &Worker{
		world: w, store: s, id: id, address: l.Addr().String(), service: service, zone: zone, slots: slots,
		born: time.Now().UnixMilli(), pace: 15 * time.Millisecond, stop: make(chan struct{}),
	}
	k.srv = &http.Server{Handler: k}
	go func() { _ = k.srv.Serve(l) }()
	k.beat()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				k.beat()
			case <-k.stop:
				return
			}
		}
	}()
	return k, nil
}

func (k *Worker) beat() {
	k.mu.Lock()
	if k.gone {
		k.mu.Unlock()
		return
	}
	k.sequence++
	state := "ready"
	if k.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": state,
		"coldLeftMs": 0, "sequence": k.sequence, "born": k.born,
	})
	k.mu.Unlock()
	k.store.put("keyed.servers", k.id, b)
}

// crash ends the worker at once; its entry goes later.
func (k *Worker) crash() {
	close(k.stop)
	_ = k.srv.Close()
	time.AfterFunc(3600*time.Millisecond, func() { k.store.put("keyed.servers", k.id, nil) })
}

// leave ends the worker in an orderly way, without a report before: its entry goes, and it serves on for some time.
func (k *Worker) leave(after time.Duration) {
	k.mu.Lock()
	k.gone = true
	k.mu.Unlock()
	k.store.put("keyed.servers", k.id, nil)
	time.AfterFunc(after, func() {
		close(k.stop)
		_ = k.srv.Close()
	})
}

// busy reports whether a request runs.
func (k *Worker) busy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.running > 0
}

// drain makes the worker leave in an orderly way.
func (k *Worker) drain() {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	k.beat()
	time.AfterFunc(3*time.Second, func() {
		close(k.stop)
		_ = k.srv.Close()
		k.store.put("keyed.servers", k.id, nil)
	})
}

func (k *Worker) load() string {
	return fmt.Sprintf("%d,%d,%d", k.running, 0, k.slots)
}

func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Galenaward-Request-Id")
	w.Header().Set("X-Galenaward-Request-Id", id)
	if e := r.Header.Get("X-Galenaward-Expect-Instance"); e != "" && e != k.id {
		w.Header().Set("X-Galenaward-Instance-Id", k.id)
		w.WriteHeader(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	if k.running >= k.slots {
		w.Header().Set("X-Galenaward-Server-Load", k.load())
		k.mu.Unlock()
		w.Header().Set("X-Galenaward-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	k.running++
	w.Header().Set("X-Galenaward-Server-Load", k.load())
	pace, cut, fail := k.pace, k.cut, k.fail
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	a := k.world.ran(k.id, id, r.Method, r.RequestURI, r.Header.Get("X-Galenaward-Tenant"), body)
	if a == nil {
		return
	}
	defer func() {
		k.world.mu.Lock()
		a.stopped = time.Now()
		k.world.mu.Unlock()
	}()
	w.Header().Set("X-Galenaward-Server-Signature", k.id+"."+id)
	if fail > 0 && rand.Float64() < fail {
		w.WriteHeader(500)
		return
	}
	breaks := cut > 0 && rand.Float64() < cut
	if a.kind != "streaming" && a.kind != "resumable" {
		time.Sleep(pace)
		if breaks {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	n := max(1, a.maxTokens/chunkTokens)
	at := rand.IntN(n)
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last
	}
	k.world.mu.Lock()
	for i := len(a.events); i < n; i++ {
		if a.kind == "resumable" {
			a.events = append(a.events, fmt.Sprintf("%s-%x-%d", a.program, xxhash64(a.input), i+1))
		} else {
			a.events = append(a.events, fmt.Sprintf("%s-%d-%x", id, i+1, rand.Uint64()))
		}
	}
	events := slices.Clone(a.events)
	k.world.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Galenaward-Weight-Versions", "1")
	var out io.Writer = w
	flush := func() { _ = http.NewResponseController(w).Flush() }
	if cut > 0 && rand.IntN(2) == 0 { // Without a framing, as faulty workers may answer.
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		var b bytes.Buffer
		b.WriteString("HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(&b)
		b.WriteString("Connection: close\r\n\r\n")
		_, _ = c.Write(b.Bytes())
		out, flush = c, func() {}
	}
	for i := first; i < n; i++ {
		select {
		case <-time.After(pace):
		case <-r.Context().Done():
			return
		case <-k.stop:
			panic(http.ErrAbortHandler)
		}
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, events[i])
		if breaks && i == at {
			_, _ = io.WriteString(out, e[:rand.IntN(len(e)-1)+1])
			flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(out, e); err != nil {
			return
		}
		flush()
	}
}
