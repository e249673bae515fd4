package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/frame"
)

// Paths of the peers' interface.
const (
	turnsPath  = "/v1/turns"
	borrowPath = "/v1/borrow"
	adoptPath  = "/v1/adopt"
	chainPath  = "/v1/chain"
	storePath  = "/v1/store"
	pokePath   = "/v1/poke"
	crashPath  = "/v1/crash"
	failPath   = "/v1/failing"
)

const (
	// peerReadTimeout bounds the time that a peer takes to send a request.
	peerReadTimeout = 5 * time.Second
	// peerIdleTimeout is above the time that clients keep idle connections.
	peerIdleTimeout = 30 * time.Second
	// clientIdleTimeout is how long an idle connection to a peer is kept.
	clientIdleTimeout = 10 * time.Second
	peerDialTimeout   = 500 * time.Millisecond
	// peerSilence is how long a stream from a peer may carry nothing; beats come twice a second.
	peerSilence = 1200 * time.Millisecond
	// maxPeerIdle bounds the idle connections to one peer.
	maxPeerIdle = 32
	// maxPeerBody bounds an answer of a peer.
	maxPeerBody = 16 << 20
)

// peerClient calls other gateways.
type peerClient struct {
	self    string
	client  *http.Client
	fetcher *frame.Fetcher
}

func newPeerClient(self string) *peerClient {
	d := &net.Dialer{
		Timeout:         peerDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
	}
	c := &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: clientIdleTimeout, MaxIdleConnsPerHost: maxPeerIdle,
		DisableCompression: true,
	}}
	return &peerClient{self: self, client: c, fetcher: &frame.Fetcher{Client: c, Silence: peerSilence}}
}

// ask sends a request to a peer and decodes its answer.
func ask[A, Q any](ctx context.Context, p *peerClient, address, path string, q Q) (A, error) {
	var a A
	body, err := json.Marshal(q)
	if err != nil {
		return a, errors.Wrapf(err, "encode request to %s", address)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.GetBody = nil // Without it the transport never sends a request twice.
	resp, err := p.client.Do(req)
	if err != nil {
		return a, errors.Wrapf(err, "ask %s", address)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBody))
	if err != nil {
		return a, errors.Wrapf(err, "answer of %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return a, refusalOf(b, address, resp.StatusCode)
	}
	return a, errors.Wrapf(json.Unmarshal(b, &a), "decode answer of %s", address)
}

func refusalOf(b []byte, address string, status int) error {
	var body struct {
		Error *fault.Fault `json:"error"`
	}
	if json.Unmarshal(b, &body) == nil && body.Error != nil {
		return body.Error
	}
	return errors.Newf("peer %s answered with status %d", address, status)
}

// cancelTurn ends a turn at its home; the caller has gone.
func (p *peerClient) cancelTurn(ctx context.Context, address, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+turnsPath+"/"+id, nil)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

type (
	borrowRequest struct {
		Workspace string `json:"workspace"`
		rate.Ask
	}
	chainRequest struct {
		Workspace string `json:"workspace"`
		Turn      string `json:"turn"`
	}
	chainAnswer struct {
		Turns []heldTurn `json:"turns,omitempty"`
		// Partitions are those that were searched and hold every turn that was answered whole in them.
		Partitions []int `json:"partitions"`
	}
	adoptRequest struct {
		Partition int        `json:"partition"`
		Turns     []heldTurn `json:"turns"`
	}
	adoptAnswer struct{}
)

// heldTurn is a turn with its texts.
type heldTurn struct {
	turns.Turn
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
}

func heldTurns(ts []turns.Turn) []heldTurn {
	out := make([]heldTurn, 0, len(ts))
	for _, t := range ts {
		out = append(out, heldTurn{t, t.Input, t.Output})
	}
	return out
}

func plainTurns(hs []heldTurn) []turns.Turn {
	out := make([]turns.Turn, 0, len(hs))
	for _, h := range hs {
		t := h.Turn
		t.Input, t.Output = h.Input, h.Output
		out = append(out, t)
	}
	return out
}

// pokePeers tells the peers that the group changes.
func (g *Gate) pokePeers(ctx context.Context) {
	if err := tell(ctx, g, pokePath, struct{}{}); err != nil {
		g.note("peer_not_poked", "cause", err) // Its next heartbeat shows the change as well.
	}
}

// peerHandler serves the other gateways. Store calls of peers go straight to the store.
func (g *Gate) peerHandler(direct store.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+turnsPath, g.beginTurn)
	mux.HandleFunc("GET "+turnsPath+"/{id}", g.resumeTurn)
	mux.HandleFunc("DELETE "+turnsPath+"/{id}", g.endTurn)
	mux.Handle("POST "+borrowPath, answer(g, g.lend))
	mux.Handle("POST "+chainPath, answer(g, g.findChain))
	mux.Handle("POST "+adoptPath, answer(g, g.adopt))
	mux.Handle("POST "+pokePath, answer(g, func(context.Context, struct{}) (struct{}, error) {
		g.owner.Poke()
		return struct{}{}, nil
	}))
	mux.Handle("POST "+crashPath, answer(g, func(_ context.Context, n crashNotice) (struct{}, error) {
		g.takeCrashes(n.Records, "peer")
		return struct{}{}, nil
	}))
	mux.Handle("POST "+failPath, answer(g, func(_ context.Context, n failNotice) (struct{}, error) {
		g.roster.HeardFailing(n.Instance, n.Born, time.Now())
		return struct{}{}, nil
	}))
	mux.Handle("POST "+storePath, answer(g, func(ctx context.Context, q storeRequest) (storeAnswer, error) {
		return g.storeForPeer(ctx, direct, q), nil
	}))
	return mux
}

// answer returns a handler for one kind of request of peers.
func answer[Q, A any](g *Gate, f func(context.Context, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerBody)).Decode(&q); err != nil {
			fault.WriteJSON(w, g.refuse(fault.InvalidRequest, "decode", "%v", err))
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			fault.WriteJSON(w, fault.From(err, r.URL.Path, g.settings.VM))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(a); err != nil {
			g.note("peer_answer_lost", "path", r.URL.Path, "cause", err)
		}
	})
}
