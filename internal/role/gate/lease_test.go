package gate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/role/owner"
)

// peerThatAnswers starts a peer that gives the answer to each question for its assignments, and returns its address.
func peerThatAnswers(t *testing.T, answer string) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// silentPeer accepts connections and never answers.
func silentPeer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// stoppedPeer returns an address at which nothing listens.
func stoppedPeer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestOnlyAllPeersTogetherVouch guards against a lease that is extended although a process that may hold the partition was
// not heard.
func TestOnlyAllPeersTogetherVouch(t *testing.T) {
	free, holder := peerThatAnswers(t, `{"assigned":false}`), peerThatAnswers(t, `{"assigned":true}`)
	silent, stopped := silentPeer(t), stoppedPeer(t)
	tests := []struct {
		name string
		// borrowers are the known peers, seeds the addresses in the settings.
		borrowers, seeds []string
		vouched          bool
	}{
		{"one gateway in all", nil, nil, true},
		{"all answer", []string{free, stopped}, nil, true},
		{"one holds the partition", []string{free, holder}, nil, false},
		{"one is silent", []string{free, silent}, nil, false},
		{"no peer known, the seed answers", nil, []string{free}, true},
		{"no peer known, the seed is silent", nil, []string{silent}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := config.DefaultGateway()
			s.Seeds = tt.seeds
			g := &Gateway{settings: s, peers: newPeerClient(s.ListenPeers)}
			g.owner = owner.New(group.New(ctx), nil, 1, s.ListenPeers)
			g.rates = newRates(g)
			for _, address := range tt.borrowers {
				g.rates.recordBorrower(address)
			}
			began := time.Now()
			err := g.askPeers(ctx, []int{0})
			is.Equal(err == nil, tt.vouched)
			is.True(time.Since(began) < 5*time.Second)
		})
	}
}
