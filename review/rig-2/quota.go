package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rolling stops and starts the gateways in turn, 1.3 s apart, while one tenant asks for four times its rate.
func rolling(f *Fleet, w *World, o options) error {
	o.what, o.at, o.seconds = "roll", 1300, 16
	return quota(f, w, o)
}

// quota plays troubles while one tenant asks for four times its rate.
func quota(f *Fleet, w *World, o options) error {
	c := newClient(w)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	t := f.tenants[0]
	end := time.Now().Add(time.Duration(o.seconds) * time.Second)
	go func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / (4 * t.rate)))
		defer tick.Stop()
		for i := 0; time.Now().Before(end); i++ {
			<-tick.C
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.call(ctx, f.gateways[i%len(f.gateways)].front, "idempotent", "/stock/1", t.keys[0], t.name)
			}()
		}
	}()
	if o.what == "roll" { // Each gateway is stopped and started in turn.
		time.Sleep(2 * time.Second)
		var rolls sync.WaitGroup
		x := int(xxhash64([]byte("rate/"+t.name)) % uint64(f.partN))
		left := slices.Clone(f.gateways)
		for len(left) > 0 && o.trouble {
			// First the one that acts for the tenant, as in roll_term how leader.
			i := max(0, slices.Index(left, f.holder(x)))
			g := left[i]
			left = slices.Delete(left, i, i+1)
			w.log("SIGTERM to %s", g.name)
			rolls.Add(1)
			go func() {
				defer rolls.Done()
				g.end(syscall.SIGTERM)
				if err := f.start(g); err != nil {
					w.log("%s does not start: %v", g.name, err)
				}
				w.log("%s has ended and starts again", g.name)
			}()
			time.Sleep(time.Duration(o.at) * time.Millisecond)
		}
		rolls.Wait()
		time.Sleep(time.Until(end) + time.Second)
		end = time.Now()
	}
	kinds := strings.Split(o.what, ",")
	x := int(xxhash64([]byte("rate/"+t.name)) % uint64(f.partN))
	if strings.HasPrefix(o.what, "one-") { // One trouble, at the allocator.
		time.Sleep(time.Duration(o.at) * time.Millisecond)
		g := f.holder(x)
		w.log("%s at %s, which holds partition %d", o.what, g.name, x)
		trouble(f, o.what[4:], g, 4*time.Second, func(*Gateway, bool) {})
		w.log("partition %d is held by %v", x, f.store.ownerOf(x))
		time.Sleep(time.Until(end) + time.Second)
		cancel()
		wg.Wait()
		w.mu.Lock()
		per := map[int]int{}
		for _, a := range w.attempts {
			if len(a.runs) > 0 {
				per[int(a.runs[0].at.Sub(w.began).Seconds()*2)]++
			}
		}
		for i := range 2 * (o.seconds + 5) {
			if per[i] > 0 {
				w.logLocked("  %.1f s: %d ran", float64(i)/2, per[i])
			}
		}
		w.mu.Unlock()
		kinds = nil
		end = time.Now()
	}
	var mu sync.Mutex
	down := map[*Gateway]bool{}
	var faults sync.WaitGroup
	time.Sleep(2 * time.Second)
	for time.Now().Before(end) && o.trouble {
		g := f.gateways[rand.IntN(len(f.gateways))]
		d := time.Duration(1500+rand.IntN(3000)) * time.Millisecond
		faults.Add(1)
		go func() {
			defer faults.Done()
			trouble(f, kinds[rand.IntN(len(kinds))], g, d, func(g *Gateway, is bool) { mu.Lock(); defer mu.Unlock(); down[g] = is })
		}()
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
	}
	faults.Wait()
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	most, at := mostInWindow(w, t.name)
	w.log("%s: in the %v from %.3f on, %d requests of %s were sent and run; the rule allows %.0f", o.what, quotaWindow,
		at.Sub(w.began).Seconds(), most, t.name, bound(t))
	if float64(most) > bound(t) {
		w.breaks("QUOTA", "%d requests ran, %.0f may", most, bound(t))
	}
	return nil
}
