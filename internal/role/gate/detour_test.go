package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/store"
)

// reach is a store that may be out of reach.
type reach struct {
	store.Store
	down bool
}

func (r *reach) Owners(context.Context) ([]store.Owner, error) {
	if r.down {
		return nil, errors.Wrap(store.ErrUnknown, "out of reach")
	}
	return []store.Owner{{Partition: 1, Member: "m"}}, nil
}

// peerWith serves the store calls of peers and counts them.
func peerWith(t *testing.T, s store.Store, calls *int) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*calls++
		var q storeRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			t.Error(err)
		}
		if err := json.NewEncoder(w).Encode(runStore(r.Context(), s, q)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// TestCut tells a process that is cut off from the store from one whose store is down for all.
func TestCut(t *testing.T) {
	tests := []struct {
		name      string
		down      bool
		peersDown bool
		calls     int
		cut       bool
	}{
		{"the store is in reach", false, false, 20, false},
		{"a lost answer or two", true, false, 2, false},
		{"cut off", true, false, 20, true},
		{"the store is down for all", true, true, 20, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var asked [2]int
			addresses := []string{
				peerWith(t, &reach{down: tt.peersDown}, &asked[0]), peerWith(t, &reach{down: true}, &asked[1]),
			}
			direct := &reach{down: tt.down}
			d := newDetour(direct, newPeerClient("self"), func() []string { return addresses }, func(string, ...any) {})
			d.every = 0 // The direct way is tried with each call.
			for range tt.calls {
				_, err := d.Owners(t.Context())
				is.Equal(err != nil, tt.down && (tt.peersDown || d.failures < detourAfter))
			}
			is.Equal(d.Cut(), tt.cut)
			if tt.cut {
				is.True(asked[0] == tt.calls-1) // All but the first call went to the peer that reaches the store,
				is.True(asked[1] <= 1)          // and to it first once it was known.
			}
			direct.down = false
			_, err := d.Owners(t.Context())
			is.NoErr(err)
			is.True(!d.Cut())
		})
	}
}

// TestReturnOfTheStore is the pattern of an outage for all that ends: peers reach the store a moment before this process
// does, which is no cut.
func TestReturnOfTheStore(t *testing.T) {
	is := is.New(t)
	var asked int
	dark, light := peerWith(t, &reach{down: true}, &asked), peerWith(t, &reach{}, &asked)
	peers := []string{dark}
	direct := &reach{down: true}
	d := newDetour(direct, newPeerClient("self"), func() []string { return peers }, func(string, ...any) {})
	d.every = 0
	call := func() { _, _ = d.Owners(t.Context()) }
	for range 20 {
		call()
	}
	is.True(!d.Cut())
	peers = []string{light}
	call()
	is.True(!d.Cut())
	direct.down = false
	call()
	is.True(!d.Cut())

	direct.down = true // A cut that follows is one.
	for range detourAfter + cutAfter {
		call()
	}
	is.True(d.Cut())
}
