package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/frame"
)

// Paths of the peer API.
const (
	turnsPath   = "/v1/turns"
	borrowPath  = "/v1/borrow"
	adoptPath   = "/v1/adopt"
	chainPath   = "/v1/chain"
	storePath   = "/v1/store"
	pokePath    = "/v1/poke"
	noticePath  = "/v1/notice"
	assignPath  = "/v1/assigned"
	placePath   = "/v1/place"
	permitsPath = "/v1/permits"
	// grantsPath asks for tokens of a program's budget, returnsPath returns them, recallPath asks for unused ones.
	grantsPath  = "/v1/grants"
	returnsPath = "/v1/returns"
	recallPath  = "/v1/recall"
)

const (
	// peerReadTimeout bounds the time for reading a request from a peer.
	peerReadTimeout = 5 * time.Second
	// peerWriteTimeout bounds the time in which a peer must take the next part of a response.
	peerWriteTimeout = 10 * time.Second
	// maxPeerHeadBytes and maxPeerHeadLines bound the head of a request from a peer. The parameters of a call are in its
	// body, so heads are short.
	maxPeerHeadBytes = 8 << 10
	maxPeerHeadLines = 128
	// peerIdleTimeout is longer than clientIdleTimeout, so that clients close idle connections first.
	peerIdleTimeout = 30 * time.Second
	// clientIdleTimeout is how long an idle connection to a peer is kept open.
	clientIdleTimeout = 10 * time.Second
	peerDialTimeout   = 500 * time.Millisecond
	// peerSilenceTimeout is how long a stream from a peer may be silent; heartbeats are sent twice a second.
	peerSilenceTimeout = 1200 * time.Millisecond
	// maxIdlePeerConns bounds the idle connections to one peer.
	maxIdlePeerConns = 32
	// maxPeerBody bounds the bodies of requests and responses between peers.
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
		DialContext: d.DialContext, IdleConnTimeout: clientIdleTimeout, MaxIdleConnsPerHost: maxIdlePeerConns,
		DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeadBytes,
	}}
	return &peerClient{self: self, client: c, fetcher: &frame.Fetcher{Client: c, SilenceTimeout: peerSilenceTimeout}}
}

// callPeer sends a request to a peer and decodes the response.
func callPeer[A, Q any](ctx context.Context, p *peerClient, address, path string, q Q) (A, error) {
	var a A
	body, err := json.Marshal(q)
	if err != nil {
		return a, errors.Wrapf(err, "encode request to peer %s", address)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.GetBody = nil // Prevents the transport from retrying the request.
	resp, err := p.client.Do(req)
	if err != nil {
		return a, errors.Wrapf(err, "call peer %s", address)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBody))
	if err != nil {
		return a, errors.Wrapf(err, "read response of peer %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return a, decodeFault(b, address, resp.StatusCode)
	}
	return a, errors.Wrapf(json.Unmarshal(b, &a), "decode response of peer %s", address)
}

func decodeFault(b []byte, address string, status int) error {
	var body struct {
		Error *fault.Fault `json:"error"`
	}
	if json.Unmarshal(b, &body) == nil && body.Error != nil {
		return body.Error
	}
	return errors.Newf("peer %s answered with status %d", address, status)
}

// cancelTurn cancels a turn at its owner after the caller has disconnected.
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
		// From is the peer address of the gateway that asks.
		From string `json:"from,omitempty"`
		rate.TokenRequest
	}
	chainRequest struct {
		Workspace string `json:"workspace"`
		Turn      string `json:"turn"`
	}
	chainAnswer struct {
		Turns []turnPayload `json:"turns,omitempty"`
		// Partitions lists the searched partitions that certainly hold all of their completed turns.
		Partitions []int `json:"partitions"`
	}
	adoptRequest struct {
		Partition int           `json:"partition"`
		Turns     []turnPayload `json:"turns"`
	}
	adoptAnswer struct{}
)

// turnPayload is a turn with its input and output, which turns.Turn leaves out of its JSON form.
type turnPayload struct {
	turns.Turn
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
}

func toPayloads(ts []turns.Turn) []turnPayload {
	out := make([]turnPayload, 0, len(ts))
	for _, t := range ts {
		out = append(out, turnPayload{t, t.Input, t.Output})
	}
	return out
}

func fromPayloads(hs []turnPayload) []turns.Turn {
	out := make([]turns.Turn, 0, len(hs))
	for _, h := range hs {
		t := h.Turn
		t.Input, t.Output = h.Input, h.Output
		out = append(out, t)
	}
	return out
}

// pokePeers notifies peers that the group membership is changing.
func (g *Gateway) pokePeers(ctx context.Context) {
	if err := notifyPeers(ctx, g, pokePath, struct{}{}); err != nil {
		g.logEvent("peer_not_poked", "cause", err) // The peer also sees the change at its next heartbeat.
	}
}

// peerHandler serves the peer API. Store calls of peers bypass fallbackStore, so that they are never forwarded again.
func (g *Gateway) peerHandler(direct store.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+turnsPath, g.beginTurn)
	mux.HandleFunc("GET "+turnsPath+"/{id}", g.resumeTurn)
	mux.HandleFunc("DELETE "+turnsPath+"/{id}", g.endTurn)
	g.registerGrantHandlers(mux)
	mux.Handle("POST "+borrowPath, jsonHandler(g, g.grantTokens))
	mux.Handle("POST "+permitsPath, jsonHandler(g, g.grantPermits))
	mux.Handle("POST "+chainPath, jsonHandler(g, g.findLocalChain))
	mux.Handle("POST "+adoptPath, jsonHandler(g, g.adopt))
	mux.Handle("POST "+pokePath, jsonHandler(g, func(context.Context, struct{}) (struct{}, error) {
		g.owner.HeartbeatNow()
		return struct{}{}, nil
	}))
	mux.Handle("POST "+noticePath, jsonHandler(g, g.applyNotice))
	mux.Handle("POST "+placePath, jsonHandler(g, g.place))
	mux.Handle("POST "+assignPath, jsonHandler(g, func(_ context.Context, q assignedRequest) (assignedAnswer, error) {
		return assignedAnswer{slices.ContainsFunc(q.Partitions, g.owner.Assigned)}, nil
	}))
	mux.Handle("POST "+storePath, jsonHandler(g, func(ctx context.Context, q storeRequest) (storeResponse, error) {
		return g.storeForPeer(ctx, direct, q), nil
	}))
	return mux
}

// jsonHandler returns a handler that decodes a JSON request and encodes the result of f.
func jsonHandler[Q, A any](g *Gateway, f func(context.Context, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if f := g.decodePeerRequest(r, &q); f != nil {
			fault.WriteJSON(w, f)
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			fault.WriteJSON(w, fault.FromError(err, r.URL.Path, g.settings.VM))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(a); err != nil {
			g.logEvent("peer_answer_lost", "path", r.URL.Path, "cause", err)
		}
	})
}

// decodePeerRequest decodes the body of a request from a peer. A request for which there is no memory has not run.
func (g *Gateway) decodePeerRequest(r *http.Request, q any) *fault.Fault {
	err := json.NewDecoder(io.LimitReader(r.Body, maxPeerBody)).Decode(q)
	switch {
	case errors.Is(err, serve.ErrBudget):
		return g.refuse(fault.Overloaded, "decode", "%v", err).WithRetryAfter(shortRetry)
	case err != nil:
		return g.refuse(fault.InvalidRequest, "decode", "%v", err)
	}
	return nil
}
