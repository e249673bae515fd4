package serve

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headStep is the least that is reserved for a head at a time.
	headStep = 16 << 10
	// writeStep is the most that is written under one time limit, so that a large response only has to make progress.
	writeStep = 64 << 10
	// lingerTime and lingerBytes bound what is read after a refusal. Without it the kernel would discard the refusal when
	// the connection closes with unread data.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalRetry is the Retry-After of a refused head, in seconds.
	refusalRetry = 1
)

// Use of a connection. Only a waiting one may be evicted, so that no request is cut off that may run.
const (
	waiting int32 = iota
	busy
	evicted
)

// closedError ends the reading of a connection that was refused or evicted. As a timeout, it makes net/http close the
// connection without a response of its own.
type closedError struct{}

// Error implements error.
func (closedError) Error() string { return "connection closed by a limit" }

// Timeout implements net.Error.
func (closedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (closedError) Temporary() bool { return false }

// conn is a connection whose requests are bounded. Reads are never concurrent with each other, as net/http orders them.
type conn struct {
	net.Conn
	listener *listener
	use      atomic.Int32
	// since is when the connection was accepted or became idle, in Unix nanoseconds.
	since atomic.Int64
	// served says that a request was read.
	served atomic.Bool

	scanner scanner
	// rest holds bytes that were read beyond the end of the current head.
	rest []byte
	// held is what the head being read has reserved. The handler of the request takes it over.
	held atomic.Int64
	// head is the size of the current request's head in bytes; last says that no request may follow it.
	head int
	last bool

	closing sync.Once
}

// Read implements net.Conn. It ends at the end of a head or body, so that each request is counted by itself.
func (c *conn) Read(p []byte) (int, error) {
	p = p[:c.scanner.want(len(p))]
	if len(p) == 0 {
		return 0, nil
	}
	fromRest := len(c.rest) > 0
	n, err := 0, error(nil)
	if fromRest {
		n = copy(p, c.rest)
	} else if n, err = c.Conn.Read(p); n == 0 {
		return 0, err
	}
	taken, ended := c.scanner.scan(p[:n])
	switch {
	case fromRest && taken == len(c.rest):
		c.rest = nil
	case fromRest:
		c.rest = c.rest[taken:]
	case taken < n:
		c.rest = bytes.Clone(p[taken:n])
	}
	if ended {
		c.head, c.last = c.scanner.done.size, c.scanner.phase == phaseOpen
		if c.refused(c.scanner.done, p) || !c.use.CompareAndSwap(waiting, busy) {
			return 0, closedError{}
		}
		c.served.Store(true)
		return taken, err
	}
	if c.refused(c.scanner.current, p) || c.use.Load() == evicted {
		return 0, closedError{}
	}
	return taken, err
}

// refused checks the head that is being read against the limits, reserves its memory, and responds to the caller if it
// cannot be served. The buffer is used to read what the caller still sends.
func (c *conn) refused(h head, buf []byte) bool {
	o := &c.listener.options
	limit := o.headLimit()
	switch {
	case o.MaxLeadingBytes > 0 && h.lead > o.MaxLeadingBytes:
		c.refuse(buf, http.StatusBadRequest, "leading_bytes", h.lead, o.MaxLeadingBytes)
	case limit > 0 && h.size > limit:
		c.refuse(buf, http.StatusRequestHeaderFieldsTooLarge, "head_bytes", h.size, limit)
	case o.MaxHeaderLines > 0 && h.lines > o.MaxHeaderLines:
		c.refuse(buf, http.StatusRequestHeaderFieldsTooLarge, "head_lines", h.lines, o.MaxHeaderLines)
	case !c.reserve(h.cost()):
		c.refuse(buf, http.StatusServiceUnavailable, "head_memory", h.size, int(o.Budget.total.Load()))
	default:
		return false
	}
	return true
}

func (c *conn) reserve(cost int64) bool {
	held := c.held.Load()
	if cost <= held {
		return true
	}
	n := max(cost-held, headStep)
	if !c.listener.options.Budget.Reserve(context.Background(), n, held) {
		return false
	}
	c.held.Add(n)
	return true
}

// refuse responds to a request whose head was not read to its end, so that it has not run.
func (c *conn) refuse(buf []byte, status int, kind string, value, limit int) {
	c.release()
	c.listener.refused(kind, c.RemoteAddr(), value, limit)
	text := fmt.Sprintf("%s: %d, limit is %d\n", kind, value, limit)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", refusalRetry)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s", status, http.StatusText(status), retry, len(text), text)
	if err != nil || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // Fails only if the connection is closed.
	for n, total := 0, 0; err == nil && total < lingerBytes; total += n {
		n, err = c.Conn.Read(buf)
	}
}

// release returns what the head being read has reserved.
func (c *conn) release() { c.listener.options.Budget.Release(c.held.Swap(0)) }

// Write implements net.Conn. Each part must be taken by the caller within the time limit.
func (c *conn) Write(p []byte) (int, error) {
	timeout := c.listener.options.WriteTimeout
	if timeout == 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		part := p[written:min(len(p), written+writeStep)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			c.listener.refused("unread_response", c.RemoteAddr(), written, len(p))
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite shuts the writing side down, which net/http does before it closes after an error.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// idle marks that the request was answered and the next one is awaited.
func (c *conn) idle(now time.Time) {
	c.since.Store(now.UnixNano())
	c.use.CompareAndSwap(busy, waiting)
}
