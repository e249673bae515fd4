package httpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// inlineBytes is the size up to which a request is written before its answer is read. A larger one could block
	// at an upstream that answers before it has read the body.
	inlineBytes = 8 << 10
	// maxStrays bounds the answers to earlier requests that are passed over on one connection.
	maxStrays = 2
	// maxHeadBytes bounds the heads of the answers on one exchange, those of other requests included.
	maxHeadBytes = 64 << 10
	// discardBytes and discardTimeout bound the rest of an answer that is read only to keep its connection.
	discardBytes   = 4 << 10
	discardTimeout = 50 * time.Millisecond
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

var (
	// ErrUnsent means that no byte of the request left this process.
	ErrUnsent = errors.New("not sent")
	// ErrStray means that only answers to other requests arrived.
	ErrStray = errors.New("answer belongs to another request")
	// ErrHeadTooLarge means that the head of an answer has no end within what a head may hold.
	ErrHeadTooLarge = errors.New("head of the answer is too large")
)

// Request is one request, as it goes over the wire.
type Request struct {
	Method string
	// Target is the request target, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is an answer whose body has not been read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	ex *exchange
}

// Close ends the exchange. The connection is kept if the whole answer was read.
func (a *Answer) Close() { a.ex.close() }

// Discard reads the rest of a short answer, so that its connection can be kept, and closes it.
func (a *Answer) Discard() {
	_ = a.ex.c.SetReadDeadline(time.Now().Add(discardTimeout)) // A connection that takes no deadline is closed by ctx.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, discardBytes))
	_ = a.ex.c.SetReadDeadline(time.Time{})
	a.Close()
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	address string
	c       *conn
	resp    *http.Response
	stop    func() bool
	writer  errgroup.Group
	written chan struct{}
	whole   bool
	once    sync.Once
}

// Do sends the request and returns the answer's head. Mine tells from a head whether the answer belongs to the
// request. When ctx ends, the connection is closed. The error wraps ErrUnsent if the request cannot have run.
func (p *Pool) Do(ctx context.Context, address string, q *Request, mine func(http.Header) bool) (*Answer, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrUnsent)
	}
	ex := &exchange{pool: p, address: address, c: c, written: make(chan struct{})}
	ex.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := ex.send(q); err != nil {
		ex.abandon()
		return nil, errors.Wrapf(err, "send to %s", address)
	}
	if err := ex.receive(q.Method, mine); err != nil {
		ex.abandon()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, errors.Wrapf(err, "answer of %s", address)
	}
	return &Answer{Status: ex.resp.StatusCode, Header: ex.resp.Header, Body: (*body)(ex), ex: ex}, nil
}

func (e *exchange) send(q *Request) error {
	head := q.head()
	if len(head)+len(q.Body) <= inlineBytes {
		defer close(e.written)
		_, err := e.c.Write(append(head, q.Body...))
		return err
	}
	e.writer.Go(func() error {
		defer close(e.written)
		bufs := net.Buffers{head, q.Body}
		_, err := bufs.WriteTo(e.c)
		return err
	})
	return nil
}

// receive reads heads until one belongs to the request.
func (e *exchange) receive(method string, mine func(http.Header) bool) error {
	for range maxStrays + 1 {
		e.c.headLeft = maxHeadBytes
		resp, err := http.ReadResponse(e.c.br, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		e.c.headLeft = -1
		if mine(resp.Header) {
			e.resp = resp
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || resp.Close {
			return ErrStray
		}
	}
	return ErrStray
}

func (e *exchange) sent() bool {
	select {
	case <-e.written:
		return true
	default:
		return false
	}
}

// close keeps the connection if the exchange ended whole, and closes it otherwise.
func (e *exchange) close() {
	e.once.Do(func() {
		live := e.stop()
		if !live || !e.whole || !e.sent() || e.resp.Close || e.unframed() || e.c.br.Buffered() > 0 {
			_ = e.c.Close()
			return
		}
		e.c.keep(e.resp.Header, time.Now())
		e.pool.put(e.address, e.c)
	})
}

func (e *exchange) abandon() {
	e.stop()
	_ = e.c.Close()
}

// unframed reports whether the body ends with its connection.
func (e *exchange) unframed() bool {
	return e.resp.ContentLength < 0 && !slices.Contains(e.resp.TransferEncoding, "chunked")
}

// body reads the answer's body and notes its whole end.
type body exchange

func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// head returns the request line and the headers.
func (q *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	for name, values := range q.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(strings.NewReplacer("\r", " ", "\n", " ").Replace(v))
			b.WriteString("\r\n")
		}
	}
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
