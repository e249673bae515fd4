package gate

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/state/store"
)

// peerStoreTimeout bounds a store call for a peer if the response can also be taken from the cache.
const peerStoreTimeout = 250 * time.Millisecond

// feedCache caches the feeds as they were last read. A process that starts while the store is unreachable loads them
// from a peer and continues from there. It is safe for concurrent use.
type feedCache struct {
	mu    sync.Mutex
	feeds map[store.Feed]*feedState
}

// feedState holds the newest record of each key of a feed up to an offset.
type feedState struct {
	records map[string][]byte
	next    int64
}

func newFeedCache() *feedCache { return &feedCache{feeds: make(map[store.Feed]*feedState)} }

// replace stores a snapshot of the feed. An older snapshot than what is cached, from the cache of a peer that is behind,
// changes nothing.
func (r *feedCache) replace(f store.Feed, b store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.feeds[f]; ok && b.Next < m.next {
		return
	}
	m := &feedState{records: make(map[string][]byte, len(b.Records))}
	r.feeds[f] = m
	m.add(b)
}

// add applies the records of the next batch. Records up to an offset that is cached already change nothing.
func (r *feedCache) add(f store.Feed, b store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.feeds[f]; ok && b.Next > m.next {
		m.add(b)
	}
}

func (m *feedState) add(b store.Batch) {
	for _, rec := range b.Records {
		if len(rec.Value) == 0 {
			delete(m.records, rec.Key)
			continue
		}
		m.records[rec.Key] = rec.Value
	}
	m.next = b.Next
}

// snapshot returns the feed as last read, or false if it has not been read.
func (r *feedCache) snapshot(f store.Feed) (store.Batch, bool) {
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

// storeForPeer makes a store call for a peer. If the store is unreachable from here too, it responds from the cache
// where possible.
func (g *Gateway) storeForPeer(ctx context.Context, direct store.Store, q storeRequest) storeResponse {
	remembered, ok := g.cachedResponse(q)
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, peerStoreTimeout)
		defer cancel()
	}
	a := callStore(ctx, direct, q)
	if !ok || isDefinite(a.err()) {
		return a
	}
	return remembered
}

// cachedResponse returns the response that the store last gave to the call.
func (g *Gateway) cachedResponse(q storeRequest) (storeResponse, bool) {
	a := storeResponse{Remembered: true}
	switch q.Call {
	case "snapshot":
		var ok bool
		a.Batch, ok = g.feedCache.snapshot(q.Feed)
		return a, ok
	case "owners":
		a.Owners = g.owner.Owners()
		return a, len(a.Owners) > 0
	}
	return a, false
}
