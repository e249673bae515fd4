package devel_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// stallProxy is a TCP proxy whose open connections can be stalled or closed. New connections always work.
type stallProxy struct {
	ln      net.Listener
	to      string
	mu      sync.Mutex
	stalled []*atomic.Bool
	conns   []net.Conn
}

func newStallProxy(f *fleet, to string) *stallProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	p := &stallProxy{ln: ln, to: to}
	f.t.Cleanup(func() { ln.Close() })
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { return p.forward(conn, &g) })
		}
	})
	return p
}

func (p *stallProxy) forward(conn net.Conn, g *errgroup.Group) error {
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		return conn.Close()
	}
	b := &atomic.Bool{}
	p.mu.Lock()
	p.stalled = append(p.stalled, b)
	p.conns = append(p.conns, conn, up)
	p.mu.Unlock()
	g.Go(func() error { return copyBytes(up, conn, b) })
	return copyBytes(conn, up, b)
}

func copyBytes(dst, src net.Conn, stalled *atomic.Bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if stalled.Load() {
			if err != nil {
				return err // The other side is not closed, so that the connection stays stalled.
			}
			continue
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			if err == io.EOF {
				return dst.Close()
			}
			return err
		}
	}
}

// stall makes every open connection drop all data without closing.
func (p *stallProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.stalled {
		b.Store(true)
	}
}

// closeConns closes every open connection.
func (p *stallProxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}
