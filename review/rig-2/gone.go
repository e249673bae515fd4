package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// gone lets clients leave while their turns run or wait.
func gone(f *Fleet, w *World, o options) error {
	t := f.tenants[0]
	for _, k := range f.models {
		k.pace = 150 * time.Millisecond
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	left := map[string]time.Time{}
	end := time.Now().Add(time.Duration(o.seconds) * time.Second)
	for range o.load {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				c := newClient(w)
				ctx, cancel := context.WithCancel(context.Background())
				id := newID()
				time.AfterFunc(time.Duration(rand.IntN(600))*time.Millisecond, cancel)
				a := c.turn(ctx, f.gateways[rand.IntN(len(f.gateways))].front, turn{
					program: id, session: id, key: t.keys[0], tenant: t.name, path: "/chat/x",
					input: []byte("[x]"), budget: 100000, maxTokens: 200, left: 20 * time.Second,
				})
				cancel()
				c.http.CloseIdleConnections()
				mu.Lock()
				left[a.id] = time.Now()
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	late, working, n := 0, 0, 0
	w.mu.Lock()
	for id, at := range left {
		a := w.attempts[id]
		if len(a.runs) == 0 {
			continue
		}
		n++
		if a.runs[0].at.Sub(at) > 500*time.Millisecond {
			late++
		}
		if a.stopped.Sub(at) > 500*time.Millisecond {
			working++
		}
	}
	w.mu.Unlock()
	w.log("%d ran; %d reached a worker over 0.5 s after the client had left, %d were still worked on", n, late, working)
	return nil
}
