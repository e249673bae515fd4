package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/httpc"
	"galenaward.example/galenaward/internal/wire/peer"

	"go.opentelemetry.io/otel/propagation"
)

const (
	stepUpstream    = "upstream"
	maxServiceBytes = 4 << 20
	maxErrorBytes   = 4096
	// minModelBytes and maxModelBytes bound the size from which an engine's answer counts as endless, tokenBytes is the most
	// that a token takes: its chunk with the most probable alternatives.
	minModelBytes, maxModelBytes = 256 << 10, 64 << 20
	tokenBytes                   = 4 << 10
)

// modelBytes returns the size of the largest answer to the call. A call that states no maximum of tokens may be answered with
// maxModelBytes.
func modelBytes(c *peer.ModelCall) int64 {
	if c.MaxTokens <= 0 {
		return maxModelBytes
	}
	return max(minModelBytes, min(c.MaxTokens, maxModelBytes/tokenBytes)*tokenBytes)
}

const (
	completionsPath    = "/v1/chat/completions"
	maxUpstreamResumes = 3
)

// errStreamUnknown means that the engine no longer has the stream that it was asked to resume.
var errStreamUnknown = errors.New("engine no longer has the stream to resume")

// errUpstreamStalled means that the upstream sent no data for Upstream.SilenceTimeout.
var errUpstreamStalled = errors.New("upstream sent no data within the stall timeout")

// Upstream sends requests to the model engine or service on the same VM. Only the headers set here are sent;
// none of the caller's are forwarded.
type Upstream struct {
	VM, BaseURL string
	// Client uses a connection for one request only, since answers do not name the request that they belong to.
	Client *http.Client
	Tracer *telem.Tracer
	// SilenceTimeout is how long a stream may stay without data before it is resumed on a new connection.
	SilenceTimeout time.Duration
	// SendPriorities says that the engine accepts a priority with each request.
	SendPriorities bool
}

// run sends the job's request and copies the answer to the job's frames.
func (u *Upstream) run(j *job) result {
	ctx, span := u.Tracer.Start(j.ctx, "upstream")
	defer span.End()
	if j.req.Model != nil {
		return u.runModel(ctx, j)
	}
	return u.runService(ctx, j)
}

// engineRequest is a chat-completions request with the field by which engines continue a partial answer.
type engineRequest struct {
	Model     string         `json:"model"`
	Messages  []prog.Message `json:"messages"`
	MaxTokens int64          `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	Options   streamOptions  `json:"stream_options"`
	// Continue makes the engine continue the last message instead of answering it.
	Continue bool `json:"continue_final_message,omitempty"`
	// Priority is lower for requests that the engine serves first.
	Priority *int64 `json:"priority,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// encodeEngineRequest encodes the request together with the caller's additional parameters. Fields that galenaward sets
// take precedence.
func encodeEngineRequest(m *peer.ModelCall, priority *int64) ([]byte, error) {
	r := engineRequest{
		Model: m.Name, Messages: m.Messages, MaxTokens: m.MaxTokens, Stream: true,
		Options: streamOptions{IncludeUsage: true}, Priority: priority,
	}
	if m.Prefix != "" {
		r.Messages = append(r.Messages[:len(r.Messages):len(r.Messages)], prog.NewTextMessage("assistant", m.Prefix))
		r.Continue = true
	}
	own, err := json.Marshal(r)
	if err != nil || len(m.Params) == 0 {
		return own, err
	}
	merged := make(map[string]json.RawMessage, len(m.Params)+6)
	for k, v := range m.Params {
		merged[k] = v
	}
	if err := json.Unmarshal(own, &merged); err != nil {
		return nil, err
	}
	return json.Marshal(merged)
}

func (u *Upstream) runModel(ctx context.Context, j *job) result {
	body, err := encodeEngineRequest(j.req.Model, u.priority(j))
	if err != nil {
		return result{fault: fault.New(fault.InvalidRequest, stepUpstream, u.VM, "%s", err)}
	}
	var acc chat.Accumulator
	events, left := 0, modelBytes(j.req.Model)
	emit := func(data []byte) error {
		if left -= int64(len(data)); left < 0 {
			return u.endlessFault()
		}
		c, err := chat.ParseChunk(data)
		if err != nil {
			return errors.Wrap(err, "engine sent an invalid JSON chunk")
		}
		events++
		acc.Add(c)
		j.frames.Chunk(bytes.Clone(data))
		return nil
	}
	sent, err := u.stream(ctx, http.MethodPost, completionsPath, j, body, emit)
	connCut := false
	for try := 0; sent && interrupted(ctx, err) && try < maxUpstreamResumes; try++ {
		connCut = connCut || !errors.Is(err, errUpstreamStalled)
		_, err = u.stream(ctx, http.MethodGet, completionsPath+"/"+j.req.ID+"?from="+strconv.Itoa(events), j, nil, emit)
	}
	if errors.Is(err, errStreamUnknown) {
		return u.lostStreamResult(connCut, err)
	}
	if err != nil {
		return u.errorResult(ctx, sent, err)
	}
	j.frames.Done(nil)
	return result{cost: cost(acc.Usage)}
}

// endlessFault ends an answer that is not resumed, unlike one that broke off.
func (u *Upstream) endlessFault() error {
	return fault.New(fault.UpstreamFailed, stepUpstream, u.VM, "engine sent more bytes than its tokens take").WithOutcome(fault.Ran)
}

func (u *Upstream) priority(j *job) *int64 {
	if !u.SendPriorities {
		return nil
	}
	return &j.priority
}

func cost(u *chat.Usage) int64 {
	if u == nil {
		return 0
	}
	return u.TotalTokens
}

// stream reads one event stream. It returns false if no connection was obtained, so that the request was never sent.
func (u *Upstream) stream(
	ctx context.Context, method, path string, j *job, body []byte, emit func([]byte) error,
) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(u.SilenceTimeout, func() { cancel(errUpstreamStalled) })
	defer watchdog.Stop()
	resp, sent, err := u.send(ctx, method, path, j, body)
	if err != nil {
		return sent, u.contextCause(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound && method == http.MethodGet {
		return sent, errStreamUnknown
	}
	if resp.StatusCode != http.StatusOK {
		return sent, u.statusFault(resp)
	}
	err = chat.ReadEvents(resp.Body, func(data []byte) error {
		watchdog.Reset(u.SilenceTimeout)
		return emit(data)
	})
	return sent, u.contextCause(ctx, err)
}

func (u *Upstream) send(ctx context.Context, method, path string, j *job, body []byte) (*http.Response, bool, error) {
	sent := false
	write := newRequestWrite()
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true }, WroteRequest: write.record,
	}
	req, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), method, u.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	// Without GetBody the transport never sends a request twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", j.req.ID)
	req.Header.Set("Galenaward-Program", j.req.Program)
	u.Tracer.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := u.Client.Do(req)
	if err == nil {
		if err = httpc.CheckStatus(resp.StatusCode); err != nil {
			resp.Body.Close()
		}
	}
	if err == nil && isUnframed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, ctx: ctx, write: write}
	}
	return resp, sent, err
}

func (u *Upstream) contextCause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// statusFault converts an error response to a fault. A status of 503 or below 500 means that the upstream did not run
// the request; after any other the outcome is unknown.
func (u *Upstream) statusFault(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	f := fault.New(fault.UpstreamFailed, stepUpstream, u.VM, "upstream returned status %d: %s", resp.StatusCode, b)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		f.Code = fault.Overloaded
		return f.WithRetryAfter(time.Second)
	case resp.StatusCode < http.StatusInternalServerError:
		f.Code = fault.InvalidRequest
		return f
	}
	return f.WithOutcome(fault.Unknown)
}

// errorResult converts an error of the exchange to a result.
func (u *Upstream) errorResult(ctx context.Context, sent bool, err error) result {
	var f *fault.Fault
	if errors.As(err, &f) {
		return result{fault: f}
	}
	if ctx.Err() != nil {
		f = fault.New(fault.UpstreamTimeout, stepUpstream, u.VM,
			"upstream did not complete the request: %v", context.Cause(ctx))
		return result{fault: f.WithOutcome(outcome(sent))}
	}
	f = fault.New(fault.UpstreamFailed, stepUpstream, u.VM, "%s", err).WithOutcome(outcome(sent))
	return result{fault: f, connLost: sent}
}

// interrupted reports whether the stream failed in a way that a resume may repair: the connection failed, and the job's
// context is not done.
func interrupted(ctx context.Context, err error) bool {
	var f *fault.Fault
	return err != nil && ctx.Err() == nil && !errors.As(err, &f) && !errors.Is(err, errStreamUnknown)
}

// lostStreamResult returns the result for a stream that the engine no longer has. If a connection was cut before, the
// engine has restarted; if connections only stalled, the engine may have abandoned the stream.
func (u *Upstream) lostStreamResult(connCut bool, err error) result {
	f := fault.New(fault.UpstreamFailed, stepUpstream, u.VM, "%s", err).WithOutcome(fault.Unknown)
	return result{fault: f, connLost: true, restarted: connCut}
}

func outcome(sent bool) fault.Outcome {
	if sent {
		return fault.Unknown
	}
	return fault.NotRun
}

func (u *Upstream) runService(ctx context.Context, j *job) result {
	resp, sent, err := u.send(ctx, http.MethodPost, "/call", j, j.req.Service.Body)
	if err != nil {
		return u.errorResult(ctx, sent, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBytes+1))
	if err != nil {
		return u.errorResult(ctx, true, err)
	}
	if len(body) > maxServiceBytes {
		f := fault.New(fault.UpstreamFailed, stepUpstream, u.VM, "service response exceeds %d bytes", maxServiceBytes)
		return result{fault: f.WithOutcome(fault.Ran)}
	}
	out, err := json.Marshal(peer.ServiceResult{Status: resp.StatusCode, Body: string(body)})
	if err != nil {
		return result{fault: fault.FromError(err, stepUpstream, u.VM)}
	}
	j.frames.Done(out)
	return result{cost: 1}
}

// probe reports whether the upstream's health endpoint returns 200.
func (u *Upstream) probe(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.BaseURL+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := u.Client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
