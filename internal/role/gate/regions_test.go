package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/store"
)

// placePeer starts a peer that answers with the status and body to questions for its place, and counts all requests by path.
func placePeer(t *testing.T, status int, body string) (address string, requests map[string]int) {
	t.Helper()
	requests = make(map[string]int)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests[r.URL.Path]++
		if r.URL.Path == placePath {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
			return
		}
		_, _ = w.Write([]byte(`{}`))
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), requests
}

// TestContentIsSentToAllowedRegionsOnly guards against the content of a turn reaching a gateway outside of the allowed
// regions, or one whose region is unknown.
func TestContentIsSentToAllowedRegionsOnly(t *testing.T) {
	north := layout.NewRegionSet("north")
	tests := []struct {
		name         string
		regions      layout.RegionSet
		callerRegion string
		status       int
		place        string
		sent         bool
		asked        int
	}{
		{"not restricted", layout.RegionSet{}, "south", 200, `{"data_centre":"b"}`, true, 0},
		{"allowed region", north, "south", 200, `{"data_centre":"a"}`, true, 1},
		{"another region", north, "north", 200, `{"data_centre":"b"}`, false, 1},
		{"the caller's region", north, "south", 200, `{"data_centre":"b"}`, true, 1},
		{"no known region", north, "north", 200, `{"data_centre":"x"}`, false, 1},
		{"neither the caller nor the peer in a known region", north, "", 200, `{"data_centre":"x"}`, false, 1},
		{"nothing allowed", layout.RegionSet{Restricted: true}, "north", 200, `{"data_centre":"b"}`, false, 1},
		{"a peer that does not know the question", north, "north", 404, "not found", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newRegionGateway(t)
			address, requests := placePeer(t, tt.status, tt.place)
			q := &turnRequest{Regions: tt.regions, CallerRegion: tt.callerRegion}
			for range 2 { // The second time, a region that is known is not asked for.
				err := g.sendAdopt(t.Context(), address, q, adoptRequest{})
				is.Equal(err == nil, tt.sent)
				if err != nil {
					f := fault.FromError(err, "", "")
					is.Equal(f.Outcome, fault.NotRun)
					is.True(f.Code == fault.Unready || f.Code == fault.PeerUnreachable)
				}
			}
			is.Equal(requests[placePath], tt.asked)
			is.Equal(requests[adoptPath] > 0, tt.sent)
		})
	}
}

// TestStoppedHomeIsExpelled guards against turns that wait until the store expires a home at whose address nothing listens
// any more: a gateway that notices this when it asks for the region has the home expelled.
func TestStoppedHomeIsExpelled(t *testing.T) {
	is := is.New(t)
	address := stoppedPeer(t)
	s := &holderStore{member: address + "/1", expelled: make(chan string, 1)}
	g := newRegionGateway(t)
	g.owner = owner.New(g.group, s, 1, g.settings.ListenPeers)
	g.owner.RefreshOwners(t.Context())
	f := g.checkRelay(t.Context(), address, &turnRequest{Regions: layout.NewRegionSet("north")})
	is.True(f != nil)
	is.True(shouldRetryOwner(f))
	select {
	case m := <-s.expelled:
		is.Equal(m, s.member)
	case <-time.After(5 * time.Second):
		t.Fatal("the home was not expelled")
	}
}

// holderStore is a store whose only partition is held by a member.
type holderStore struct {
	store.Store
	member   string
	expelled chan string
}

func (s *holderStore) Owners(context.Context) ([]store.Owner, error) {
	return []store.Owner{{Partition: 0, Member: s.member}}, nil
}

func (s *holderStore) Leave(_ context.Context, member string) error {
	s.expelled <- member
	return nil
}

func newRegionGateway(t *testing.T) *Gateway {
	t.Helper()
	s := config.DefaultGateway()
	s.Regions = map[string]string{"a": "north", "b": "south"}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &Gateway{
		settings: s, peers: newPeerClient(s.ListenPeers), logger: log.NewNopLogger(), metrics: telem.NewMetrics(),
		group: group.New(ctx),
	}
}

// TestPeerRegionsExpire guards against a region that is used for an address after another VM may have taken it over, and
// against entries that pile up.
func TestPeerRegionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var p peerRegions
		is.True(p.set("p1", "north", time.Now()))
		is.True(!p.set("p1", "north", time.Now()))
		time.Sleep(peerRegionTTL - time.Millisecond)
		region, ok := p.get("p1", time.Now())
		is.True(ok)
		is.Equal(region, "north")
		time.Sleep(time.Millisecond)
		_, ok = p.get("p1", time.Now())
		is.True(!ok)
		is.True(p.set("p2", "south", time.Now()))
		is.Equal(len(p.m), 1)
		is.True(p.set("p2", "", time.Now()))
		region, ok = p.get("p2", time.Now())
		is.True(ok)
		is.Equal(region, "")
	})
}
