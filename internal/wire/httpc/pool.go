// Package httpc is an HTTP/1.1 client for requests that must not be sent twice. It never repeats a request, tells
// whether any of it may have reached the upstream, takes an answer only for the request that it belongs to, and
// gives up connections that carry bytes behind a whole answer.
package httpc

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxIdlePerAddress bounds the idle connections to one upstream, which takes a limited number from all callers.
	maxIdlePerAddress = 8
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection counts as dead.
	unackedTimeout = 2500 * time.Millisecond
	probeIdle      = time.Second
	probeInterval  = 500 * time.Millisecond
	probeCount     = 3
	// dialTimeout bounds the time to open a connection; upstreams are a few milliseconds away.
	dialTimeout = time.Second
)

// Pool keeps idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	opened func(address string)

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{idle: make(map[string][]*conn), opened: func(string) {}}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         bindUnacked,
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Option configures a pool.
type Option func(*Pool)

// WithOpened sets a function that is called for each new connection.
func WithOpened(f func(address string)) Option { return func(p *Pool) { p.opened = f } }

func bindUnacked(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// get returns an idle connection or opens one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.opened(address)
	return newConn(nc), nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
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

// Sweep closes idle connections that are too old to be used.
func (p *Pool) Sweep(now time.Time) {
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

// Forget closes the idle connections to an address whose process is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
