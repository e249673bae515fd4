package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// ghost stops and starts the gateways in turn after a time in which answers of the store were lost and the calls done
// late.
func ghost(f *Fleet, w *World, o options) error {
	c := newClient(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	down := map[*Gateway]bool{}
	pick := func() *Gateway {
		mu.Lock()
		defer mu.Unlock()
		for {
			if g := f.gateways[rand.IntN(len(f.gateways))]; !down[g] {
				return g
			}
		}
	}
	for range o.load {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				t := f.tenants[rand.IntN(len(f.tenants))]
				id, previous := newID(), ""
				for i := 0; i < 7 && ctx.Err() == nil; i++ {
					g := pick()
					a := c.turn(ctx, g.front, turn{
						program: id, session: id, previous: previous, key: t.keys[0], tenant: t.name, path: "/chat/" + id,
						input: []byte("[" + id + "]"), budget: 100000, maxTokens: 70, left: 20 * time.Second,
					})
					w.mu.Lock()
					a.front = g
					w.mu.Unlock()
					if a.whole {
						previous = a.id
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if o.trouble {
		f.store.set(func() { f.store.lost, f.store.late = 0.35, true })
		w.log("the store does 0.35 of the writes 1 to 6 s late and does not answer them")
		time.Sleep(4500 * time.Millisecond)
		f.store.set(func() { f.store.lost, f.store.late = 0, false })
		w.log("the store answers all calls again")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	sound := time.Now()
	time.Sleep(100 * time.Millisecond)
	var rolls sync.WaitGroup
	for _, g := range f.gateways {
		rolls.Add(1)
		go func() {
			defer rolls.Done()
			g.mu.Lock()
			g.stopped = time.Now()
			g.mu.Unlock()
			w.log("SIGTERM to %s", g.name)
			time.AfterFunc(2*time.Second, func() { mu.Lock(); down[g] = true; mu.Unlock() })
			g.end(syscall.SIGTERM)
			mu.Lock()
			down[g] = true
			mu.Unlock()
			if err := f.start(g); err != nil {
				w.log("%s does not start: %v", g.name, err)
			}
			for !g.isReady() && ctx.Err() == nil {
				time.Sleep(50 * time.Millisecond)
			}
			w.log("%s has ended, started again and is ready", g.name)
			mu.Lock()
			down[g] = false
			mu.Unlock()
		}()
		time.Sleep(time.Second)
	}
	rolls.Wait()
	time.Sleep(time.Second)
	cancel()
	ended := time.Now()
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.front == nil || len(a.runs) == 0 || a.whole || a.ended.After(ended) || a.status >= 300 {
			continue
		}
		// The pages leave out the last sixth of graceS and what reached its deadline.
		since := a.ended.Sub(a.front.stopped)
		if a.sent.Before(sound.Add(3*time.Second)) || since < 0 || since > 9*time.Second || a.ended.Sub(a.sent) > 3900*time.Millisecond {
			continue
		}
		w.breaksLocked("LOST", "turn %s, sent at %.3f to %s, which got SIGTERM at %.3f, ran, and its connection ended at %.3f without a whole answer (%d, %d events): %s",
			a.id, a.sent.Sub(w.began).Seconds(), a.front.name, a.front.stopped.Sub(w.began).Seconds(), a.ended.Sub(w.began).Seconds(), a.status, a.got, a.err)
	}
	return nil
}
