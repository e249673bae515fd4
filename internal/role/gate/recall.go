package gate

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/state/store"
)

// peerStoreTimeout bounds a call of the store for a peer that can do with what this process remembers.
const peerStoreTimeout = 250 * time.Millisecond

// recall remembers what the feeds held when they were last read. A process that starts while the store is out of reach
// takes it from a peer and goes on from there. It is safe for concurrent use.
type recall struct {
	mu    sync.Mutex
	feeds map[store.Feed]*memory
}

// memory is the newest record of each key of a feed up to an offset.
type memory struct {
	records map[string][]byte
	next    int64
}

func newRecall() *recall { return &recall{feeds: make(map[store.Feed]*memory)} }

// replace takes a snapshot of the feed.
func (r *recall) replace(f store.Feed, b store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &memory{records: make(map[string][]byte, len(b.Records))}
	r.feeds[f] = m
	m.add(b)
}

// add takes the records that follow.
func (r *recall) add(f store.Feed, b store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.feeds[f]; ok {
		m.add(b)
	}
}

func (m *memory) add(b store.Batch) {
	for _, rec := range b.Records {
		if len(rec.Value) == 0 {
			delete(m.records, rec.Key)
			continue
		}
		m.records[rec.Key] = rec.Value
	}
	m.next = b.Next
}

// snapshot returns the feed as of its last reading, false if it was never read.
func (r *recall) snapshot(f store.Feed) (store.Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.feeds[f]
	if !ok {
		return store.Batch{}, false
	}
	b := store.Batch{Next: m.next}
	for _, k := range slices.Sorted(maps.Keys(m.records)) {
		b.Records = append(b.Records, store.Record{Key: k, Value: m.records[k]})
	}
	return b, true
}

// storeForPeer makes a peer's call of the store. If the store is out of reach here too, it answers with what is
// remembered, where that serves.
func (g *Gate) storeForPeer(ctx context.Context, direct store.Store, q storeRequest) storeAnswer {
	remembered, ok := g.remembered(q)
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, peerStoreTimeout)
		defer cancel()
	}
	a := runStore(ctx, direct, q)
	if !ok || definite(a.err()) {
		return a
	}
	return remembered
}

// remembered returns the answer to a call as of the last time that the store gave it.
func (g *Gate) remembered(q storeRequest) (storeAnswer, bool) {
	a := storeAnswer{Remembered: true}
	switch q.Call {
	case "snapshot":
		var ok bool
		a.Batch, ok = g.recall.snapshot(q.Feed)
		return a, ok
	case "owners":
		a.Owners = g.owner.Owners()
		return a, len(a.Owners) > 0
	}
	return a, false
}
