package gate

import (
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/wire/events"
	"galenaward.example/galenaward/internal/wire/httpc"
)

const eventStreamType = "text/event-stream"

// answerBody reads the body of an upstream's answer. It returns io.EOF only if the answer is complete: an upstream that
// crashes can end its connection, its chunks or its length in order, and then only the events tell that the stream was
// cut off.
type answerBody struct {
	gateway  *Gateway
	request  string
	upstream roster.Upstream
	resp     *httpc.Response
	body     io.Reader
	// isStream says that the body is an event stream, whose position boundary tracks.
	isStream bool
	boundary events.Boundary
	size     int64
}

// newAnswerBody returns a reader for the body of the response. Successful answers that declare the type of event streams
// are such, and so are those on streaming routes that declare no type.
func (g *Gateway) newAnswerBody(a *attempts, u roster.Upstream, resp *httpc.Response) *answerBody {
	declared, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	isStream := declared == eventStreamType || (err != nil && a.route.Kind == layout.Streaming)
	return &answerBody{
		gateway: g, request: a.call.ID, upstream: u, resp: resp, body: resp.Body,
		isStream: isStream && resp.Status < http.StatusMultipleChoices,
	}
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.size += int64(n)
	if b.isStream {
		b.boundary.Write(p[:n])
	}
	if err == io.EOF {
		return n, b.end()
	}
	if err != nil {
		err = errors.Wrapf(err, "body framed by %s, after %d bytes", b.resp.Framing, b.size)
	}
	return n, err
}

// end returns io.EOF if the answer is complete, and otherwise events.ErrTruncated.
func (b *answerBody) end() error {
	byClose := b.resp.Framing == httpc.FramedByClose
	// Without a framing, an event is the only evidence that the upstream answered at all.
	cut := b.isStream && (!b.boundary.Reached() || (byClose && b.boundary.Events() == 0))
	if byClose || cut {
		b.logEnd(cut)
	}
	if cut {
		b.resp.MarkIncomplete()
		return errors.Wrapf(events.ErrTruncated, "body framed by %s, after %d bytes and %d events",
			b.resp.Framing, b.size, b.boundary.Events())
	}
	return io.EOF
}

func (b *answerBody) logEnd(cut bool) {
	b.gateway.logEvent("answer_end", "request", b.request, "upstream", b.upstream.Instance,
		"address", b.upstream.Address, "status", b.resp.Status, "framing", b.resp.Framing, "bytes", b.size,
		"is_stream", b.isStream, "events", b.boundary.Events(), "in_event", !b.boundary.Reached(),
		"complete", !cut, "write_error", b.resp.WriteError())
}
