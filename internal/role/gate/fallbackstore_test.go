package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/store"
)

// switchableStore is a store that can be made unreachable.
type switchableStore struct {
	store.Store
	down bool
}

func (r *switchableStore) Owners(context.Context) ([]store.Owner, error) {
	if r.down {
		return nil, errors.Wrap(store.ErrOutcomeUnknown, "store unreachable")
	}
	return []store.Owner{{Partition: 1, Member: "m"}}, nil
}

// startStorePeer starts a peer that serves store calls and counts them. It returns the peer's address.
func startStorePeer(t *testing.T, s store.Store, calls *int) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*calls++
		var q storeRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			t.Error(err)
		}
		if err := json.NewEncoder(w).Encode(callStore(r.Context(), s, q)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// TestIsolated distinguishes a process that alone cannot reach the store from an outage of the store.
func TestIsolated(t *testing.T) {
	tests := []struct {
		name      string
		down      bool
		peersDown bool
		calls     int
		isolated  bool
	}{
		{"store reachable", false, false, 20, false},
		{"two failed calls", true, false, 2, false},
		{"unreachable from this process only", true, false, 20, true},
		{"store down", true, true, 20, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var asked [2]int
			addresses := []string{
				startStorePeer(t, &switchableStore{down: tt.peersDown}, &asked[0]),
				startStorePeer(t, &switchableStore{down: true}, &asked[1]),
			}
			direct := &switchableStore{down: tt.down}
			d := newFallbackStore(direct, newPeerClient("self"), func() []string { return addresses }, func(string, ...any) {})
			d.retryInterval = 0 // A direct call is attempted each time.
			for range tt.calls {
				_, err := d.Owners(t.Context())
				is.Equal(err != nil, tt.down && (tt.peersDown || !d.failing(otherCalls)))
			}
			is.Equal(d.Isolated(), tt.isolated)
			if tt.isolated {
				is.True(asked[0] == tt.calls-1) // All but the first call went to the peer that reaches the store,
				is.True(asked[1] <= 1)          // which is tried first once it is known.
			}
			direct.down = false
			_, err := d.Owners(t.Context())
			is.NoErr(err)
			is.True(!d.Isolated())
		})
	}
}

// TestStoreRecoveryIsNotIsolation covers the end of an outage of the store: peers reach it slightly before this process
// does, which must not count as isolation.
func TestStoreRecoveryIsNotIsolation(t *testing.T) {
	is := is.New(t)
	var asked int
	unreachable, reaching := startStorePeer(t, &switchableStore{down: true}, &asked),
		startStorePeer(t, &switchableStore{}, &asked)
	peers := []string{unreachable}
	direct := &switchableStore{down: true}
	d := newFallbackStore(direct, newPeerClient("self"), func() []string { return peers }, func(string, ...any) {})
	d.retryInterval = 0
	call := func() { _, _ = d.Owners(t.Context()) }
	for range 20 {
		call()
	}
	is.True(!d.Isolated())
	peers = []string{reaching}
	call()
	is.True(!d.Isolated())
	direct.down = false
	call()
	is.True(!d.Isolated())

	direct.down = true // Isolation after the recovery is detected.
	for range fallbackAfter + isolatedAfter {
		call()
	}
	is.True(d.Isolated())
}

// TestCallsBegunDuringAnOutageAreNotIsolation guards against processes that give up their partitions when the store
// returns, since calls that began during the outage still fail after a peer has reached the store.
func TestCallsBegunDuringAnOutageAreNotIsolation(t *testing.T) {
	is := is.New(t)
	d := newFallbackStore(nil, nil, nil, func(string, ...any) {})
	began := time.Now().Add(-time.Second)
	for range 10 {
		d.recordDirectCall(otherCalls, false)
	}
	for range 10 {
		d.recordPeerSuccess("peer", began)
	}
	is.True(!d.Isolated())
	is.True(d.shouldTryDirect(otherCalls)) // The store may have returned for this process too.
	for range isolatedAfter {
		d.recordPeerSuccess("peer", time.Now().Add(time.Millisecond))
	}
	is.True(d.Isolated())
}

// partlyFailingStore takes no appends to one partition.
type partlyFailingStore struct {
	store.Store
	failing int
}

func (p *partlyFailingStore) Append(_ context.Context, partition int, _ store.Fence, _ []store.Record) error {
	if partition == p.failing {
		return errors.Wrap(store.ErrOutcomeUnknown, "reset")
	}
	return nil
}

// TestOutageOfSomePartitionsIsNotIsolation covers a store that takes no appends to some partitions. It guards against a
// process that gives up all its partitions then, and against calls to the others that are made through peers.
func TestOutageOfSomePartitionsIsNotIsolation(t *testing.T) {
	is := is.New(t)
	var asked int
	s := &partlyFailingStore{failing: 3}
	peer := startStorePeer(t, s, &asked)
	d := newFallbackStore(s, newPeerClient("self"), func() []string { return []string{peer} }, func(string, ...any) {})
	d.retryInterval = 0
	for range 20 {
		is.True(d.Append(t.Context(), 3, store.Fence{}, nil) != nil)
		is.True(!d.Isolated())
		before := asked
		is.NoErr(d.Append(t.Context(), 4, store.Fence{}, nil))
		is.Equal(asked, before)
	}
}
