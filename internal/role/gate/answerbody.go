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

// answerBody reads the body of an upstream's answer. Where nothing but the end of the connection, or an end in an event,
// says that the answer is over, it logs what was read.
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

// newAnswerBody returns a reader for the body of the response. Successful answers on streaming routes are event streams
// unless they declare another type.
func (g *Gateway) newAnswerBody(a *attempts, u roster.Upstream, resp *httpc.Response) *answerBody {
	declared, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	isStream := declared == eventStreamType
	if err != nil && a.route.Kind == layout.Streaming {
		isStream = resp.Status < http.StatusMultipleChoices
	}
	return &answerBody{
		gateway: g, request: a.call.ID, upstream: u, resp: resp, body: resp.Body, isStream: isStream,
	}
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.size += int64(n)
	if b.isStream {
		b.boundary.Write(p[:n])
	}
	if err == io.EOF && (b.resp.Framing == httpc.FramedByClose || !b.boundary.Reached()) {
		b.logEnd()
	}
	if err != nil && err != io.EOF {
		err = errors.Wrapf(err, "body framed by %s, after %d bytes", b.resp.Framing, b.size)
	}
	return n, err
}

func (b *answerBody) logEnd() {
	b.gateway.logEvent("answer_end", "request", b.request, "upstream", b.upstream.Instance,
		"address", b.upstream.Address, "status", b.resp.Status, "framing", b.resp.Framing, "bytes", b.size,
		"is_stream", b.isStream, "events", b.boundary.Events(), "in_event", !b.boundary.Reached(),
		"write_error", b.resp.WriteError())
}
