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
	// maxIdle is how long a connection is kept without use; upstreams close theirs after a few seconds.
	maxIdle = 4 * time.Second
	// idleMargin is how long before the upstream's own limit a connection is given up.
	idleMargin = 500 * time.Millisecond
)

// conn is a connection to one upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// headLeft is how many more bytes may be read while heads are expected; negative for no limit.
	headLeft int64
	// expires is when an idle connection may no longer be used.
	expires time.Time
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, headLeft: -1}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headLeft)])
	c.headLeft -= int64(n)
	return n, err
}

// usable reports whether an idle connection is open and carries no bytes that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	if c.br.Buffered() > 0 || !now.Before(c.expires) {
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
	silent := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		silent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// keep sets the time up to which the connection may be used again.
func (c *conn) keep(h http.Header, now time.Time) {
	life := maxIdle
	if s, ok := idleLimit(h); ok {
		life = min(life, s-idleMargin)
	}
	c.expires = now.Add(life)
}

// idleLimit returns the timeout of a Keep-Alive header.
func idleLimit(h http.Header) (time.Duration, bool) {
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
