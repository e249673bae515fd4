// Package httpc implements an HTTP/1.1 client for requests that must not be sent twice. It never retries a request,
// reports whether any part of it may have reached the upstream, accepts a response only for the request that it belongs
// to, and closes connections on which bytes follow a complete response.
package httpc

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// maxIdlePerAddress bounds the idle connections to one upstream, which accepts a limited number from all clients
	// together.
	maxIdlePerAddress = 8
	// unackedTimeout is the TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before the connection is
	// considered dead.
	unackedTimeout = 2500 * time.Millisecond
	probeIdle      = time.Second
	probeInterval  = 500 * time.Millisecond
	probeCount     = 3
	// dialTimeout bounds the time to open a connection. Round trips to upstreams take a few milliseconds.
	dialTimeout = time.Second
)

// Pool keeps idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	onOpen func(address string, took time.Duration)

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{idle: make(map[string][]*conn), onOpen: func(string, time.Duration) {}}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Option configures a pool.
type Option func(*Pool)

// WithOnOpen sets a callback for each new connection, with the time that it took to open.
func WithOnOpen(f func(address string, took time.Duration)) Option {
	return func(p *Pool) { p.onOpen = f }
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// get returns a usable idle connection that has not carried a request with the ID, or opens a new one.
func (p *Pool) get(ctx context.Context, address, id string) (*conn, error) {
	now, hash := time.Now(), xxhash.Sum64String(id)
	for {
		c := p.pop(address, hash, id != "")
		if c == nil {
			break
		}
		if c.usable(now) {
			c.carried = append(c.carried, hash)
			return c, nil
		}
		_ = c.Close()
	}
	began := time.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.onOpen(address, time.Since(began))
	c := newConn(nc)
	c.carried = []uint64{hash}
	return c, nil
}

// pop removes the connection that became idle last; if unique is set, from those that have not carried a request with the
// ID.
func (p *Pool) pop(address string, id uint64, unique bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !unique || !slices.Contains(c.carried, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseExpired closes idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, a)
			continue
		}
		p.idle[a] = kept
	}
}

// CloseIdle closes the idle connections to an address whose process has exited.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
