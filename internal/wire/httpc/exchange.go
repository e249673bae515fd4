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
	// inlineBytes is the size up to which a request is written before its response is read. Writing a larger one could
	// block if the upstream responds before it has read the body.
	inlineBytes = 8 << 10
	// maxSkipped bounds the responses that are skipped in one exchange: those to earlier requests and informational ones.
	maxSkipped = 2
	// maxHeaderBytes bounds each attempt to read a status line and headers, those of skipped responses included.
	maxHeaderBytes = 64 << 10
	// discardBytes and discardTimeout bound the rest of a response that is read only to reuse its connection.
	discardBytes   = 4 << 10
	discardTimeout = 50 * time.Millisecond
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

var (
	// ErrUnsent means that no byte of the request left this process.
	ErrUnsent = errors.New("request was not sent")
	// ErrMismatchedResponse means that only responses to other requests arrived, or one that may belong to another.
	ErrMismatchedResponse = errors.New("response belongs to another request")
	// ErrInvalidStatus means that bytes arrived whose status code is none of a response.
	ErrInvalidStatus = errors.New("status code is none of a response")
	// ErrHeaderTooLarge means that the status line and headers of a response exceed the limit.
	ErrHeaderTooLarge = errors.New("response headers are too large")
)

// Request is a request as it is written to the connection.
type Request struct {
	// ID is the ID that the response carries. Attempts of one request share it.
	ID     string
	Method string
	// Target is the request target, written unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Check, if set, is called when a connection exists, right before the first byte is written. An error leaves the
	// request unsent. It is for requests that may be sent within a certain time only, since dialing may take long.
	Check func() error
}

// Framing is the way in which the end of a response body is marked.
type Framing string

// The framings of HTTP/1.1. A body without a length or chunks ends with its connection.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close"
)

// Response is a response whose body has not been read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framing is how the end of Body is marked.
	Framing Framing

	ex *exchange
}

// Close ends the exchange. The connection returns to the pool if the whole response was read.
func (r *Response) Close() { r.ex.close() }

// MarkIncomplete makes Close end the connection although the body was read to its end: its content shows that the upstream
// broke off.
func (r *Response) MarkIncomplete() { r.ex.broken = true }

// Discard reads the rest of a short response, so that its connection can be reused, and closes the response.
func (r *Response) Discard() {
	defer r.Close()
	if r.Framing == FramedByClose {
		return // Its connection cannot be reused.
	}
	// If the deadline cannot be set, the end of ctx closes the connection.
	_ = r.ex.c.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, discardBytes))
	_ = r.ex.c.SetReadDeadline(time.Time{})
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool       *Pool
	address    string
	c          *conn
	resp       *http.Response
	stopWatch  func() bool
	writer     errgroup.Group
	writeEnded chan struct{}
	// complete means that the body was read to its end, broken that its content shows that the upstream broke off.
	complete, broken bool
	once             sync.Once
}

// Do sends the request and returns the response once its headers are read. responseID returns the ID of the request that
// a response belongs to, or an empty string. A response without an ID is accepted only on a connection that has carried no
// other request. When ctx ends, the connection is closed. The error is marked with ErrUnsent if the request cannot have
// been executed.
func (p *Pool) Do(
	ctx context.Context, address string, q *Request, responseID func(http.Header) string,
) (*Response, error) {
	c, err := p.get(ctx, address, q.ID)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrUnsent)
	}
	if q.Check != nil {
		if err := q.Check(); err != nil {
			_ = c.Close()
			return nil, errors.Mark(errors.Wrapf(err, "send request to %s", address), ErrUnsent)
		}
	}
	ex := &exchange{pool: p, address: address, c: c, writeEnded: make(chan struct{})}
	ex.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := ex.send(q); err != nil {
		ex.abort()
		return nil, errors.Wrapf(err, "send request to %s", address)
	}
	if err := ex.receive(q, responseID); err != nil {
		ex.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, errors.Wrapf(err, "read response from %s", address)
	}
	return &Response{
		Status: ex.resp.StatusCode, Header: ex.resp.Header, Body: (*body)(ex), Framing: ex.framing(), ex: ex,
	}, nil
}

// WriteError returns the error with which the write of the request ended; nil while it goes on.
func (r *Response) WriteError() error {
	if !r.ex.isWritten() {
		return nil
	}
	return r.ex.writer.Wait()
}

// send writes the request, in the background if it is larger than inlineBytes.
func (e *exchange) send(q *Request) error {
	header := q.encodeHeader()
	if len(header)+len(q.Body) <= inlineBytes {
		defer close(e.writeEnded)
		_, err := e.c.Write(append(header, q.Body...))
		return err
	}
	e.writer.Go(func() error {
		defer close(e.writeEnded)
		bufs := net.Buffers{header, q.Body}
		_, err := bufs.WriteTo(e.c)
		return err
	})
	return nil
}

// receive reads responses until one belongs to the request. It skips informational ones and a few to other requests.
func (e *exchange) receive(q *Request, responseID func(http.Header) string) error {
	for range maxSkipped + 1 {
		e.c.headerLeft = maxHeaderBytes
		resp, err := http.ReadResponse(e.c.br, &http.Request{Method: q.Method})
		if err != nil {
			return err
		}
		if isInformational(resp.StatusCode) {
			continue
		}
		if err := CheckStatus(resp.StatusCode); err != nil {
			return err
		}
		e.c.headerLeft = -1
		switch id := responseID(resp.Header); {
		case id == q.ID, id == "" && len(e.c.carried) == 1:
			e.resp = resp
			return nil
		case id == "":
			return errors.Wrapf(ErrMismatchedResponse, "status %d without an ID on a reused connection", resp.StatusCode)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close {
			return ErrMismatchedResponse
		}
	}
	return ErrMismatchedResponse
}

// isInformational reports whether another response follows. A switch of protocols, which no request asks for, ends HTTP.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// CheckStatus returns an error marked with ErrInvalidStatus if the status code is none of a final response. http.ReadResponse
// accepts any three digits.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrInvalidStatus, "status %03d", status)
	}
	return nil
}

// isWritten reports whether the write of the request has ended.
func (e *exchange) isWritten() bool {
	select {
	case <-e.writeEnded:
		return true
	default:
		return false
	}
}

// close returns the connection to the pool if the exchange is complete and nothing forbids reuse; otherwise it closes
// the connection.
func (e *exchange) close() {
	e.once.Do(func() {
		stopped := e.stopWatch()
		if !stopped || !e.complete || e.broken || !e.isWritten() || e.resp.Close || e.framing() == FramedByClose ||
			e.c.br.Buffered() > 0 {
			_ = e.c.Close()
			return
		}
		e.c.setExpiry(e.resp.Header, time.Now())
		e.pool.put(e.address, e.c)
	})
}

func (e *exchange) abort() {
	e.stopWatch()
	_ = e.c.Close()
}

func (e *exchange) framing() Framing {
	switch {
	case slices.Contains(e.resp.TransferEncoding, "chunked"):
		return FramedByChunks
	case e.resp.ContentLength >= 0 || e.resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByClose
}

// body reads the response body and records whether its end was reached.
type body exchange

func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if (*exchange)(b).framing() == FramedByClose {
		// The system reports a reset only once. If the writer received it, the reader sees an ordinary end.
		<-b.writeEnded
		if werr := b.writer.Wait(); werr != nil {
			return n, errors.Mark(errors.Wrap(werr, "connection ended while the request was written"), io.ErrUnexpectedEOF)
		}
	}
	b.complete = true
	return n, io.EOF
}

// encodeHeader returns the request line and headers. Line breaks in header values are replaced by spaces.
func (q *Request) encodeHeader() []byte {
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
