package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// conversation is a program whose turns carry only their new input.
type conversation struct {
	id   string
	last *attempt
}

// say sends one turn of a conversation as the pages tell: two tries, each with 4 s, and the turn again from its start at
// most twice. Tries after the program's aim are not made. It returns the tries.
func (v *conversation) say(ctx context.Context, f *Fleet, c *Client, t tenant, path, input string, events int, aim time.Duration) []*attempt {
	var tries []*attempt
	began := time.Now()
	at := rand.IntN(len(f.gateways))
	for round := range 3 {
		if round > 0 {
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
		deadline := time.Now().Add(4 * time.Second)
		for range 2 {
			left := aim - time.Since(began)
			if left <= 0 {
				return tries
			}
			q := turn{
				program: v.id, session: v.id, key: t.keys[0], tenant: t.name, path: path, input: []byte(input),
				budget: 100000, maxTokens: events * chunkTokens, left: left, deadline: time.Until(deadline),
			}
			if v.last != nil {
				q.previous = v.last.id
			}
			if len(tries) > 0 { // Another try takes a new connection, to another gateway.
				at = (at + 1) % len(f.gateways)
				c = newClient(c.world)
			}
			a := c.turn(ctx, f.gateways[at].front, q)
			tries = append(tries, a)
			if a.whole {
				v.last = a
				return tries
			}
			if a.status != 503 && a.status != 429 {
				break // Only a promise may be followed by another try.
			}
			// Retry-After is honoured up to a third of the time left.
			wait := time.Until(deadline) / 3
			if s, err := strconv.ParseFloat(a.retryAfter, 64); err == nil {
				wait = min(wait, time.Duration(s*float64(time.Second)))
			}
			time.Sleep(wait)
		}
	}
	return tries
}

// crashed lets three of twenty model workers crash at once, while conversations of one tenant run turns with the same
// short input there. Afterwards conversations of the tenant say the same again.
func crashed(f *Fleet, w *World, o options) error {
	return sameWord(f, w, func(word string) {
		time.Sleep(700 * time.Millisecond)
		n := 0
		for i, k := range f.models {
			if !k.busy() || n == 3 {
				continue
			}
			n++
			w.log("worker %s crashes", k.id)
			k.crash()
			time.AfterFunc(4300*time.Millisecond, func() { f.again(w, k.id, i) })
		}
	}, o.trouble)
}

// again starts a worker in the place of one that has ended.
func (f *Fleet) again(w *World, old string, i int) {
	k, err := startWorker(w, f.store, "assist-models", old+"-again", fmt.Sprintf("127.0.2.%d:0", 100+i), "luz-a", 16)
	if err != nil {
		w.log("no worker in the place of %s: %v", old, err)
		return
	}
	k.pace = 80 * time.Millisecond
	w.log("worker %s starts in the place of %s", k.id, old)
}

// left lets three of twenty model workers leave as planned, without reporting it before, shortly after clients there have
// given up turns with the same short input.
func left(f *Fleet, w *World, o options) error {
	return sameWord(f, w, func(word string) {
		time.Sleep(3 * time.Second) // All turns have ended, but for those that their clients gave up.
		n := 0
		for i, k := range f.models {
			if !w.gaveUpAt(k.id) || n == 3 {
				continue
			}
			n++
			w.log("worker %s leaves: its entry is removed, and it serves on for 2 s and more", k.id)
			k.leave(3500 * time.Millisecond)
			time.AfterFunc(4*time.Second, func() { f.again(w, k.id, i) })
		}
	}, o.trouble)
}

// gaveUpAt reports whether a client has left a request that the worker ran.
func (w *World) gaveUpAt(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.gaveUp && len(a.runs) > 0 && a.runs[0].worker == worker {
			return true
		}
	}
	return false
}

// sameWord runs conversations of one tenant whose turns carry the same short input, plays the trouble meanwhile, and has
// other conversations say the same later.
func sameWord(f *Fleet, w *World, trouble func(word string), troubled bool) error {
	c := newClient(w)
	ctx := context.Background()
	t := f.tenants[0]
	for _, k := range f.models {
		k.pace = 80 * time.Millisecond
	}
	const word, path = "yes", "/chat/counter"
	parallel := func(vs []*conversation, do func(i int, v *conversation)) {
		var wg sync.WaitGroup
		for i, v := range vs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				do(i, v)
			}()
		}
		wg.Wait()
	}
	var first, later []*conversation
	for range 20 {
		first = append(first, &conversation{id: newID()})
	}
	for range 10 {
		later = append(later, &conversation{id: newID()})
	}
	open := func(i int, v *conversation) {
		v.say(ctx, f, c, t, path, "I need a price for kerb run "+v.id, 5, 20*time.Second)
	}
	parallel(first, open)
	parallel(later, open)
	for _, v := range append(first, later...) {
		if v.last == nil {
			return fmt.Errorf("a conversation did not begin")
		}
	}
	w.log("30 conversations have begun; 20 of them now say %q", word)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if troubled {
			trouble(word)
		}
	}()
	parallel(first, func(i int, v *conversation) {
		if i%5 == 0 && w.givesUp { // A fifth of the clients leave early.
			ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			v.leave(ctx, f, c, t, path, word, 25)
			return
		}
		v.say(ctx, f, c, t, path, word, 25, 20*time.Second)
	})
	<-done
	time.Sleep(15 * time.Second)
	w.log("the other 10 say %q; no worker has ended for 8 s and more, and all are idle", word)
	var mu sync.Mutex
	lost, firstOK, otherOK := 0, 0, 0
	parallel(later, func(i int, v *conversation) {
		from := v.last
		n, reached := 0, false
		for _, a := range v.say(ctx, f, c, t, path, word, 25, 6*time.Second) {
			n++
			reached = reached || len(a.runs) > 0
			text, _, _ := strings.Cut(a.text, "\n")
			w.log("conversation %d, try %d: %d, ran %d times, Retry-After %q: %.160s", i, n, a.status, len(a.runs), a.retryAfter, text)
		}
		mu.Lock()
		defer mu.Unlock()
		if !reached && n >= 5 {
			lost++
			w.breaks("LOST", "a turn after %s, which was answered whole %v ago, reached no worker in %d tries", from.id,
				time.Since(from.wholeAt).Round(time.Second), n)
		}
	})
	parallel(later, func(i int, v *conversation) {
		ok := false
		for _, a := range v.say(ctx, f, c, t, path, "tell me more, says "+v.id, 5, 6*time.Second) {
			ok = ok || len(a.runs) > 0
		}
		n := &conversation{id: newID()}
		begun := false
		for _, a := range n.say(ctx, f, c, t, path, "a first question of "+n.id, 5, 6*time.Second) {
			begun = begun || len(a.runs) > 0
		}
		mu.Lock()
		defer mu.Unlock()
		if ok {
			otherOK++
		}
		if begun {
			firstOK++
		}
	})
	w.log("turns that say %q and reached no worker: %d of 10; first turns that reached one: %d of 10; later turns with another input: %d of 10",
		word, lost, firstOK, otherOK)
	return nil
}

// leave sends one turn and gives it up when ctx ends.
func (v *conversation) leave(ctx context.Context, f *Fleet, c *Client, t tenant, path, input string, events int) {
	a := c.turn(ctx, f.gateways[rand.IntN(len(f.gateways))].front, turn{
		program: v.id, session: v.id, previous: v.last.id, key: t.keys[0], tenant: t.name, path: path, input: []byte(input),
		budget: 100000, maxTokens: events * chunkTokens, left: 20 * time.Second,
	})
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	a.gaveUp = true
}
