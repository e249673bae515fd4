package frame

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
)

// ErrSilent means that no frame, not even a heartbeat, arrived within Fetcher.SilenceTimeout.
var ErrSilent = errors.New("no frame arrived within the silence limit")

// maxResumes bounds consecutive attempts to resume a stream; the count starts anew after progress.
const maxResumes = 5

// Fetcher starts streams at a peer and delivers their frames. It replaces a broken or silent connection and resumes the
// stream at the position it had reached.
type Fetcher struct {
	Client *http.Client
	// SilenceTimeout is the longest time without a frame, heartbeats included, after which a connection is replaced.
	SilenceTimeout time.Duration
	// AddHeaders adds headers, such as trace context, to each request. It may be nil.
	AddHeaders func(ctx context.Context, h http.Header)
	// OnResume is called for each connection that is replaced. It may be nil.
	OnResume func()
}

// Request identifies a stream at a peer.
type Request struct {
	// BaseURL is the peer's address, such as http://127.0.0.1:7000.
	BaseURL string
	// Path is the collection, such as /v1/calls, and ID the stream in it.
	Path, ID string
	// Instance is the process that must start the stream; if empty, any process that listens at BaseURL may.
	Instance string
	// Peer is the VM's name, for faults.
	Peer string
	// Body is encoded as JSON into the request that starts the stream.
	Body any
	// PeerEnded reports whether the peer is known to have ended, so that the stream is not resumed; nil for never.
	PeerEnded func() bool
}

// Fetch starts the stream and calls emit for each frame in order, except heartbeats. It returns nil after the last
// frame, also if that is a Fail frame. The outcome of a returned fault is NotRun only if the peer was never reached.
func (f *Fetcher) Fetch(ctx context.Context, q Request, emit func(Frame)) *fault.Fault {
	body, err := json.Marshal(q.Body)
	if err != nil {
		return fault.FromError(err, "encode", q.Peer)
	}
	pos := 0
	sent, last, err := f.readFrames(ctx, http.MethodPost, q.BaseURL+q.Path, q.Instance, body, &pos, emit)
	if !sent {
		return fault.New(fault.PeerUnreachable, "connect", q.Peer, "%s", err).
			WithPeerDown(errors.Is(err, syscall.ECONNREFUSED))
	}
	down := false
	for try := 0; !last && !down && err != nil && ctx.Err() == nil && try < maxResumes && !q.peerEnded(); try++ {
		if f.OnResume != nil {
			f.OnResume()
		}
		before := pos
		url := fmt.Sprintf("%s%s/%s?from=%d", q.BaseURL, q.Path, q.ID, pos)
		_, last, err = f.readFrames(ctx, http.MethodGet, url, "", nil, &pos, emit)
		down = errors.Is(err, syscall.ECONNREFUSED)
		if pos > before {
			try = 0
		}
		f.backoff(ctx, last, try)
	}
	if last {
		return nil
	}
	if ctx.Err() != nil {
		return fault.New(fault.UpstreamTimeout, "relay", q.Peer, "response stream cancelled after %d frames: %v",
			pos, context.Cause(ctx)).WithOutcome(fault.Unknown)
	}
	return fault.New(fault.PeerUnreachable, "relay", q.Peer, "response stream truncated after %d frames: %v",
		pos, err).WithOutcome(fault.Unknown).WithPeerDown(down)
}

func (q Request) peerEnded() bool { return q.PeerEnded != nil && q.PeerEnded() }

// backoff waits before the next attempt to resume: 50 ms longer for each one without progress, and not at all after
// progress.
func (f *Fetcher) backoff(ctx context.Context, last bool, try int) {
	if last || try == 0 {
		return
	}
	select {
	case <-time.After(time.Duration(try) * 50 * time.Millisecond):
	case <-ctx.Done():
	}
}

// readFrames reads frames over one connection. sent is false only if no connection was made, and last reports whether
// the stream has ended.
func (f *Fetcher) readFrames(
	ctx context.Context, method, url, instance string, body []byte, pos *int, emit func(Frame),
) (sent, last bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(f.SilenceTimeout, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, false, err
	}
	// Without GetBody the transport cannot rewind the body, so it does not resend the request on another connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if instance != "" {
		req.Header.Set(InstanceHeader, instance)
	}
	if f.AddHeaders != nil {
		f.AddHeaders(ctx, req.Header)
	}
	connected := false
	resp, err := f.Client.Do(withConnTrace(req, &connected))
	if err != nil {
		return connected, false, cause(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return true, true, f.emitError(resp, emit)
	}
	dec := json.NewDecoder(resp.Body)
	for {
		var fr Frame
		if err := dec.Decode(&fr); err != nil {
			return true, false, cause(ctx, err)
		}
		watchdog.Reset(f.SilenceTimeout)
		if fr.Kind == Heartbeat || fr.Pos < *pos {
			continue
		}
		if fr.Pos > *pos {
			return true, false, errors.Newf("unexpected frame position %d, want %d", fr.Pos, *pos)
		}
		*pos++
		emit(fr)
		if fr.Last() {
			return true, true, nil
		}
	}
}

// emitError emits an error response as the stream's last frame.
func (f *Fetcher) emitError(resp *http.Response, emit func(Frame)) error {
	var body struct {
		Error *fault.Fault `json:"error"`
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if json.Unmarshal(b, &body) != nil || body.Error == nil {
		body.Error = fault.New(fault.PeerUnreachable, "relay", resp.Request.URL.Host,
			"peer responded with HTTP status %d", resp.StatusCode).WithOutcome(fault.Unknown)
	}
	emit(Frame{Kind: Fail, Fault: body.Error})
	return nil
}

// cause returns the reason why ctx ended, or err if it has not.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}
