package httpc

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4096
	// maxIdle bounds the time that a connection stays idle. Upstreams close idle connections after a few seconds.
	maxIdle = 4 * time.Second
	// idleMargin is how long before the upstream's own idle timeout a connection expires.
	idleMargin = 500 * time.Millisecond
	// maxExchanges bounds the exchanges of one connection, and with them the IDs that it remembers.
	maxExchanges = 256
)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// headerLeft is the number of bytes that may still be read while response headers are expected; negative for no limit.
	headerLeft int64
	// expires is when the connection, if idle, may no longer be reused.
	expires time.Time
	// carried holds the hashes of the IDs of all requests that were sent on the connection. No two are equal: a repeated
	// response to the earlier request could not be told from the response to the later one.
	carried []uint64
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, headerLeft: -1}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read implements io.Reader. It returns ErrHeaderTooLarge once headerLeft is used up.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headerLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headerLeft)])
	c.headerLeft -= int64(n)
	return n, err
}

// usable reports whether an idle connection has not expired, is open and has no unsolicited bytes to read.
func (c *conn) usable(now time.Time) bool {
	if c.br.Buffered() > 0 || !now.Before(c.expires) || len(c.carried) >= maxExchanges {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// setExpiry sets the time until which the connection may be reused, from the headers of the last response.
func (c *conn) setExpiry(h http.Header, now time.Time) {
	lifetime := maxIdle
	if limit, ok := keepAliveTimeout(h); ok {
		lifetime = min(lifetime, limit-idleMargin)
	}
	c.expires = now.Add(lifetime)
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
