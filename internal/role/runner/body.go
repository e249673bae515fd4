package runner

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// requestWrite is the outcome of writing a request.
type requestWrite struct {
	// ended is closed once the write has ended; err is set before.
	ended chan struct{}
	once  sync.Once
	err   error
}

func newRequestWrite() *requestWrite { return &requestWrite{ended: make(chan struct{})} }

// record implements httptrace.ClientTrace.WroteRequest.
func (w *requestWrite) record(i httptrace.WroteRequestInfo) {
	w.once.Do(func() {
		w.err = i.Err
		close(w.ended)
	})
}

// unframedBody is a response body that ends with its connection. The system reports a reset only once per connection; if
// writing the request received it, the body seems to end in order. The body is complete only if the request was written.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	write *requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	select {
	case <-b.write.ended:
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
	if b.write.err != nil {
		return n, errors.Wrap(b.write.err, "connection ended while the request was written")
	}
	return n, io.EOF
}

// isUnframed reports whether the response has a body with neither a length nor chunks.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
