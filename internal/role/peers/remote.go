package peers

import (
	"context"
	"net/http"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

// cancelTimeout bounds a request that cancels a stream.
const cancelTimeout = time.Second

// RemoteRunner runs requests at sidecars over HTTP.
type RemoteRunner struct {
	Fetcher *frame.Fetcher
	// HasEnded reports whether an instance is known to have ended; may be nil.
	HasEnded func(instance string) bool
}

// Run sends the request to the candidate and passes on the frames of the response. If ctx ends, a model run is
// cancelled at the sidecar.
func (r RemoteRunner) Run(
	ctx context.Context, to peer.Candidate, req peer.RunRequest, emit func(frame.Frame),
) *fault.Fault {
	q := frame.Request{
		BaseURL: BaseURL(to.Address), Path: peer.RunsPath, ID: req.ID, Instance: to.Instance, Peer: to.VM, Body: req,
	}
	if r.HasEnded != nil {
		q.PeerEnded = func() bool { return r.HasEnded(to.Instance) }
	}
	f := r.Fetcher.Fetch(ctx, q, emit)
	if ctx.Err() != nil && req.Model != nil {
		CancelStream(r.Fetcher.Client, to.Address, peer.RunsPath, req.ID)
	}
	return f
}

// CancelStream asks the process at the address to cancel the stream. It is best effort: errors are ignored.
func CancelStream(hc *http.Client, address, path, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, BaseURL(address)+path+"/"+id, nil)
	if err != nil {
		return
	}
	if resp, err := hc.Do(req); err == nil {
		resp.Body.Close()
	}
}
