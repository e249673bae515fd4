package runner

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// requestWrite receives the outcome of writing a request.
type requestWrite chan error

func newRequestWrite() requestWrite { return make(requestWrite, 1) }

// record implements httptrace.ClientTrace.WroteRequest.
func (w requestWrite) record(i httptrace.WroteRequestInfo) {
	select {
	case w <- i.Err:
	default:
	}
}

// unframedBody is a response body that ends with its connection. The system reports a reset only once per connection; if
// writing the request received it, the body seems to end in order. The body is complete only if the request was written.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	write requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	select {
	case werr := <-b.write:
		b.write.record(httptrace.WroteRequestInfo{Err: werr})
		if werr != nil {
			return n, errors.Wrap(werr, "connection ended while the request was written")
		}
		return n, io.EOF
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
}

// isUnframed reports whether the response has a body with neither a length nor chunks.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
