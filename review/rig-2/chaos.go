package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program runs one program: turns one after another, with calls between them.
func program(ctx context.Context, f *Fleet, c *Client, pick func() *Gateway, path string, kept bool, from *attempt) *attempt {
	t := f.tenants[rand.IntN(len(f.tenants))]
	if from != nil {
		for _, x := range f.tenants {
			if x.name == from.tenant {
				t = x
			}
		}
	}
	id := newID()[:6]
	turns := 3 + rand.IntN(6)
	maxTokens := 10 * (3 + rand.IntN(5))
	budget := turns * maxTokens
	if rand.IntN(4) == 0 {
		turns *= 2 // It goes on until it is stopped.
	}
	previous := ""
	if from != nil {
		previous = from.id
	}
	var last *attempt
	if rand.IntN(3) == 0 { // Sub-agents, until the budget is spent.
		budget *= 2
		var wg sync.WaitGroup
		for k := range 2 + rand.IntN(4) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				prev := previous
				for fails := 0; fails < 12 && ctx.Err() == nil; {
					a := c.turn(ctx, pick().front, turn{
						program: id, session: fmt.Sprint(id, k), previous: prev, key: t.keys[0], tenant: t.name, path: path + id,
						input: []byte(fmt.Sprintf("[%s agent %d]", id, k)), budget: budget, maxTokens: maxTokens, left: 20 * time.Second,
						resumable: path == "/assess/",
					})
					if a.status == 402 {
						fails += 4
						time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
						continue
					}
					if a.whole {
						if kept {
							prev = a.id
						}
						continue
					}
					fails++
					time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
				}
			}()
		}
		wg.Wait()
		return nil
	}
	for i := range turns {
		if ctx.Err() != nil {
			return last
		}
		ok := false
		at := 0
		for try := 0; try < 5 && !ok && ctx.Err() == nil; try++ {
			a := c.turn(ctx, pick().front, turn{
				program: id, session: id, previous: previous, key: t.keys[0], tenant: t.name, path: path + id,
				input: []byte(fmt.Sprintf("[%s turn %d]", id, i)), budget: budget, maxTokens: maxTokens, left: 20 * time.Second,
				resumable: path == "/assess/", resumeAt: at,
			})
			if path == "/assess/" && a.err != "" && try%2 == 0 {
				at = a.got // The client goes on where the connection broke.
			} else {
				at = 0
			}
			if a.status == 402 {
				return last
			}
			if ok = a.whole; ok {
				last = a
				if kept {
					previous = a.id
				}
				break
			}
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
		}
		if !ok {
			return last
		}
		if rand.IntN(3) == 0 {
			c.call(ctx, pick().front, "idempotent", "/stock/"+id, t.keys[1], t.name)
		}
		if rand.IntN(3) == 0 {
			c.call(ctx, pick().front, "non_idempotent", "/book/"+id, t.keys[1], t.name)
		}
	}
	return last
}

// chaos plays random troubles while programs run.
func chaos(f *Fleet, w *World, o options) error {
	c := newClient(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var old []*attempt
	down := map[*Gateway]bool{}
	pick := func() *Gateway {
		mu.Lock()
		defer mu.Unlock()
		for range 20 {
			if g := f.gateways[rand.IntN(len(f.gateways))]; !down[g] {
				return g
			}
		}
		return f.gateways[0]
	}
	for i := range o.load {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i*10) * time.Millisecond)
			for ctx.Err() == nil {
				kept := !o.local && rand.IntN(4) != 0
				path := "/brief/"
				if rand.IntN(2) == 0 {
					path = "/assess/"
				}
				var from *attempt
				if kept {
					path = "/chat/"
					mu.Lock()
					if len(old) > 0 && rand.IntN(4) == 0 {
						from = old[rand.IntN(len(old))]
						if time.Since(from.wholeAt) > 50*time.Second {
							from = nil
						}
					}
					mu.Unlock()
				}
				if a := program(ctx, f, c, pick, path, kept, from); a != nil && kept {
					mu.Lock()
					old = append(old, a)
					mu.Unlock()
				}
			}
		}()
	}
	w.mu.Lock()
	w.planned = o.planned
	w.mu.Unlock()
	kinds := strings.Split(o.what, ",")
	if o.what == "" {
		kinds = []string{"kill", "term", "freeze", "lost", "late", "slow", "busy", "silent", "nodes", "deal", "lapse", "cut", "fail", "crash", "parts", "herd", "drain"}
	}
	setDown := func(g *Gateway, is bool) {
		mu.Lock()
		defer mu.Unlock()
		down[g] = is
	}
	end := time.Now().Add(time.Duration(o.seconds) * time.Second)
	var faults sync.WaitGroup
	for time.Now().Before(end) && o.trouble {
		kind := kinds[rand.IntN(len(kinds))]
		g := f.gateways[rand.IntN(len(f.gateways))]
		d := time.Duration(500+rand.IntN(4000)) * time.Millisecond
		w.log("trouble %s %s %v", kind, g.name, d)
		faults.Add(1)
		go func() {
			defer faults.Done()
			trouble(f, kind, g, d, setDown)
		}()
		time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
	}
	if !o.trouble {
		time.Sleep(time.Until(end))
	}
	faults.Wait()
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()
	return nil
}

var restarting sync.Map

func trouble(f *Fleet, kind string, g *Gateway, d time.Duration, setDown func(*Gateway, bool)) {
	s := f.store
	alone := func(do func()) {
		if _, busy := restarting.LoadOrStore(g, true); busy {
			return
		}
		defer restarting.Delete(g)
		do()
	}
	store := func(on, off func()) {
		s.set(on)
		time.Sleep(d)
		s.set(off)
	}
	switch kind {
	case "kill":
		alone(func() {
			g.end(syscall.SIGKILL)
			setDown(g, true)
			time.Sleep(d / 3)
			_ = f.start(g)
			time.Sleep(300 * time.Millisecond)
			setDown(g, false)
		})
	case "herd":
		var wg sync.WaitGroup
		for _, x := range f.gateways {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if _, busy := restarting.LoadOrStore(x, true); busy {
					return
				}
				defer restarting.Delete(x)
				x.end(syscall.SIGKILL)
				time.Sleep(300 * time.Millisecond)
				_ = f.start(x)
			}()
		}
		wg.Wait()
	case "term":
		alone(func() {
			time.AfterFunc(2*time.Second, func() { setDown(g, true) })
			g.end(syscall.SIGTERM)
			setDown(g, true)
			_ = f.start(g)
			time.Sleep(500 * time.Millisecond)
			setDown(g, false)
		})
	case "freeze":
		alone(func() {
			f.world.mu.Lock()
			f.world.frozen = true
			f.world.mu.Unlock()
			g.signal(syscall.SIGSTOP)
			time.Sleep(d)
			g.signal(syscall.SIGCONT)
		})
	case "lost":
		store(func() { s.lost, s.late = 0.3, false }, func() { s.lost = 0 })
	case "late":
		store(func() { s.lost, s.late = 0.3, true }, func() { s.lost, s.late = 0, false })
	case "slow":
		store(func() { s.slow = 50 }, func() { s.slow = 1 })
	case "busy":
		store(func() { s.all = modeBusy }, func() { s.all = "" })
	case "silent":
		store(func() { s.all = modeSilent }, func() { s.all = "" })
	case "nodes":
		mode := []string{modeBusy, modeMany, modeReset, modeSilent}[rand.IntN(4)]
		d *= 2
		store(func() { s.modes[g.name] = mode }, func() { delete(s.modes, g.name) })
	case "parts":
		store(func() { s.badParts[rand.IntN(6)], s.badParts[6+rand.IntN(6)] = true, true }, func() { clear(s.badParts) })
	case "deal":
		s.dealAnew()
	case "lapse":
		s.lapse()
	case "cut", "fail":
		k := f.models[rand.IntN(len(f.models))]
		a := f.apps[rand.IntN(len(f.apps))]
		for _, x := range []*Worker{k, a} {
			x.mu.Lock()
			if kind == "cut" {
				x.cut = 0.3
			} else {
				x.fail = 0.3
			}
			x.mu.Unlock()
		}
		time.Sleep(d)
		for _, x := range []*Worker{k, a} {
			x.mu.Lock()
			x.cut, x.fail = 0, 0
			x.mu.Unlock()
		}
	}
}
