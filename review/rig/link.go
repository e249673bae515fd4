package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// link is a proxy between two gateways. While it is cut, it is silent: it accepts connections and passes nothing on.
type link struct {
	address, to string
	mu          sync.Mutex
	cut         bool
	conns       []net.Conn
}

func newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// setCut cuts the link or joins it again. Connections of the time of the cut are reset when it ends.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		return
	}
	for _, c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	l.conns = nil
}

func (l *link) serve(c net.Conn) {
	l.mu.Lock()
	l.conns = append(l.conns, c)
	cut := l.cut
	l.mu.Unlock()
	if cut {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	d, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 && !l.isCut() {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(d, c)
	go pass(c, d)
	<-done
	if !l.isCut() {
		_ = c.Close()
	}
	_ = d.Close()
}

// door is a gateway's way to the store. It can be cut, and it names other gateways by the links that lead to them, so
// that the connections between gateways can be cut too.
type door struct {
	address string
	store   *store
	mu      sync.Mutex
	cut     bool
	joined  chan struct{}
	// links maps the address of another gateway to that of the link to it.
	links map[string]string
}

func newDoor(s *store) (*door, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{address: ln.Addr().String(), store: s, links: map[string]string{}, joined: make(chan struct{})}
	go func() { _ = http.Serve(ln, d) }()
	return d, nil
}

func (d *door) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut && !cut {
		close(d.joined)
		d.joined = make(chan struct{})
	}
	d.cut = cut
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	d.mu.Lock()
	cut, joined := d.cut, d.joined
	d.mu.Unlock()
	if cut {
		select {
		case <-joined:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	for from, to := range d.links {
		body = bytes.ReplaceAll(body, []byte(to+"/"), []byte(from+"/"))
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.URL.Path != "/galenaward/log-owners" {
		d.store.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	d.store.ServeHTTP(rec, r)
	out := rec.Body.Bytes()
	for from, to := range d.links {
		out = bytes.ReplaceAll(out, []byte(`"`+from+"/"), []byte(`"`+to+"/"))
	}
	answer(w, rec.Code, string(out))
}
