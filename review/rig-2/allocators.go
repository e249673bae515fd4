package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// bound is what a tenant with the given rate and burst may have run in a window.
func bound(t tenant) float64 {
	return (t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaOverage) + quotaSlack
}

const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// mostInWindow returns the most requests of a tenant that were both sent and run in one window, and when it began.
func mostInWindow(w *World, tenant string) (most int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, a := range w.attempts {
		if a.tenant == tenant && len(a.runs) > 0 {
			spans = append(spans, span{a.sent, a.runs[0].at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i, s := range spans {
		n := 0
		for _, x := range spans[i:] {
			if x.sent.Sub(s.sent) > quotaWindow {
				break
			}
			if x.ran.Sub(s.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, s.sent
		}
	}
	return most, at
}

// allocators lets all memberships run out while the store is down for one partition.
func allocators(f *Fleet, w *World, o options) error {
	c := newClient(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := f.tenants[0]
	x := int(xxhash64([]byte("rate/"+t.name)) % uint64(f.partN))
	first := f.holder(x)
	w.log("the rate of %s (%v/s, burst %v) belongs to partition %d, held by %s", t.name, t.rate, t.burst, x, first.name)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	// Programs of another tenant, whose history lies in partition x.
	other := f.tenants[1]
	for range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID()
			for f.partition(other.name, id) != x {
				id = newID()
			}
			previous := ""
			for i := 0; ctx.Err() == nil; i++ {
				a := c.turn(ctx, f.gateways[i%len(f.gateways)].front, turn{
					program: id, session: id, previous: previous, key: other.keys[0], tenant: other.name, path: "/chat/" + id,
					input: []byte("[turn]"), budget: 1000000, maxTokens: 30, left: 20 * time.Second,
				})
				if a.whole {
					previous = a.id
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	// One tenant asks for more than its rate, through all gateways alike.
	send := func(perSecond float64, d time.Duration) {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for until, i := time.Now().Add(d), 0; time.Now().Before(until); i++ {
			<-tick.C
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.call(ctx, f.gateways[i%len(f.gateways)].front, "idempotent", "/stock/1", t.keys[0], t.name)
			}()
		}
	}
	done := make(chan bool)
	go func() { send(4*t.rate, 16*time.Second); close(done) }()
	time.Sleep(4 * time.Second)
	if o.trouble {
		f.store.set(func() { f.store.badParts[x] = true })
		down := time.Now()
		w.log("the store takes no calls for partition %d", x)
		time.Sleep(time.Second)
		for range 5 { // Who comes back first gets what the others had; it is to be another one.
			f.store.lapse()
			w.log("the store lets all memberships run out")
			time.Sleep(600 * time.Millisecond)
			if h := f.holder(x); h != nil && h != first {
				break
			}
		}
		h := f.holder(x)
		if h == nil {
			return fmt.Errorf("nobody holds partition %d", x)
		}
		w.log("all are members again; partition %d is held by %s", x, h.name)
		time.Sleep(time.Until(down.Add(4500 * time.Millisecond)))
		f.store.set(func() { clear(f.store.badParts) })
		w.log("the store takes all calls again")
	}
	<-done
	cancel()
	wg.Wait()
	most, at := mostInWindow(w, t.name)
	w.log("in the %v from %.3f on, %d requests of %s were sent and run; the rule allows %.0f", quotaWindow,
		at.Sub(w.began).Seconds(), most, t.name, bound(t))
	if float64(most) > bound(t) {
		w.breaks("QUOTA", "%s", fmt.Sprintf("%d requests ran, %.0f may", most, bound(t)))
	}
	return nil
}
