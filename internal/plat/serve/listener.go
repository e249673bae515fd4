package serve

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// unusedAgeFactor is how much more the age of a connection without a request weighs in an eviction. An ordinary caller
// sends as soon as it is connected, but keeps a used connection idle for long.
const unusedAgeFactor = 4

// listener bounds the connections that it accepts. At the limit a new connection takes the place of the one that has
// waited for longest without a request in progress, so that idle connections lock nobody out.
type listener struct {
	net.Listener
	options Options
	refusal refusals

	mu    sync.Mutex
	conns map[*conn]struct{}
	// perAddress counts the open connections from each address.
	perAddress map[netip.Addr]int
}

func newListener(ln net.Listener, o Options) *listener {
	return &listener{
		Listener: ln, options: o, conns: make(map[*conn]struct{}), perAddress: make(map[netip.Addr]int),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: l}
		c.since.Store(time.Now().UnixNano())
		if l.admit(c) {
			return c, nil
		}
		_ = nc.Close() // Nothing was read from it.
	}
}

// admit adds a connection if the limits allow it.
func (l *listener) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := remoteAddr(c)
	if limit, n := l.options.MaxPerAddress, l.perAddress[address]; limit > 0 && n >= limit {
		l.refused("connections_from_address", c.RemoteAddr(), n, limit)
		return false
	}
	if limit := l.options.MaxConnections; limit > 0 && len(l.conns) >= limit {
		old := l.longestWaiting(time.Now().UnixNano())
		if old == nil {
			l.refused("connections", c.RemoteAddr(), len(l.conns), limit)
			return false
		}
		l.refused("connection_evicted", old.RemoteAddr(), len(l.conns), limit)
		l.removeLocked(old)
		_ = old.Conn.Close() // Its server's goroutine ends with the error of its read.
	}
	l.conns[c] = struct{}{}
	l.perAddress[address]++
	return true
}

// longestWaiting marks the connection that has waited for longest as evicted. It returns nil if each carries a request.
func (l *listener) longestWaiting(now int64) *conn {
	for {
		var oldest *conn
		var most int64
		for c := range l.conns {
			if c.use.Load() != waiting {
				continue
			}
			age := now - c.since.Load()
			if !c.served.Load() {
				age *= unusedAgeFactor
			}
			if oldest == nil || age > most {
				oldest, most = c, age
			}
		}
		if oldest == nil || oldest.use.CompareAndSwap(waiting, evicted) {
			return oldest
		}
	}
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *listener) removeLocked(c *conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	address := remoteAddr(c)
	if l.perAddress[address]--; l.perAddress[address] == 0 {
		delete(l.perAddress, address)
	}
}

// open returns the number of open connections.
func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func remoteAddr(c net.Conn) netip.Addr {
	a, _ := c.RemoteAddr().(*net.TCPAddr)
	if a == nil {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}
