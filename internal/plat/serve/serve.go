// Package serve runs HTTP servers with limits for slow and idle clients, and shuts them down gracefully.
package serve

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
)

// drainPollInterval is the time between two looks for open connections.
const drainPollInterval = 10 * time.Millisecond

// headSlack is what a head may exceed Options.HeadLimit by before it is cut off. Up to there the handler refuses it, with a
// response that names the request.
const headSlack = 4 << 10

// Options limit the resources that clients may use. A zero value means no limit, unless stated otherwise.
type Options struct {
	// HeadTimeout bounds the time to send the head of a request; ReadTimeout if zero.
	HeadTimeout time.Duration
	// ReadTimeout bounds the time to send one request, body included.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a client must take the next part of a response.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxConnections bounds the number of open connections. At the bound a new one replaces one without a request.
	MaxConnections int
	// MaxPerAddress bounds the open connections from one address.
	MaxPerAddress int
	// MaxHeaderBytes bounds the size of the request line and headers; 1 MB if zero.
	MaxHeaderBytes int
	// HeadLimit, if set, returns a lower bound that may change, or zero for none. Heads are cut off a little above it.
	HeadLimit func() int
	// MaxHeaderLines bounds the number of lines of a head.
	MaxHeaderLines int
	// MaxLeadingBytes bounds the empty lines before a request.
	MaxLeadingBytes int
	// Budget bounds the memory of requests that are not answered; nil for no bound.
	Budget *Budget
	// Metrics counts the refusals and Log reports them; both may be nil.
	Metrics *telem.Metrics
	Log     log.Logger
}

// headLimit returns the size at which a head is cut off.
func (o *Options) headLimit() int {
	limit := o.MaxHeaderBytes
	if o.HeadLimit != nil {
		if n := o.HeadLimit(); n > 0 && (limit == 0 || n+headSlack < limit) {
			limit = n + headSlack
		}
	}
	return limit
}

// Server is a running HTTP server.
type Server struct {
	server   *http.Server
	listener *listener
	addr     string
	conns    connTracker
	draining atomic.Bool
}

// Start listens on the address and serves requests in the group's goroutines. The end of the group's context closes all
// connections; call Drain before it to let requests finish.
func Start(g *group.Group, address string, h http.Handler, o Options) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	l := newListener(ln, o)
	s := &Server{addr: ln.Addr().String(), listener: l, server: &http.Server{
		Handler: l.withBudget(h), ReadTimeout: o.ReadTimeout, ReadHeaderTimeout: cmp.Or(o.HeadTimeout, o.ReadTimeout),
		IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}}
	s.server.ConnState = s.observe
	g.Go(func(context.Context) error {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !s.draining.Load() {
			return errors.Wrapf(err, "serve on %q", address)
		}
		return nil
	})
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return s.server.Close()
	})
	return s, nil
}

// observe follows the state of a connection.
func (s *Server) observe(nc net.Conn, state http.ConnState) {
	s.conns.observe(nc, state)
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.idle(time.Now())
	case http.StateClosed:
		c.release()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.listener.open() }

// Addr returns the address that the server listens on, with the port chosen if the given one was zero.
func (s *Server) Addr() string { return s.addr }

// Drain closes the listener and idle connections, and returns when all other connections have ended or ctx ends. Each of
// them may still carry one request, which the handler answers: http.Server.Shutdown would close it without a response.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrapf(err, "close listener on %q", s.addr)
	}
	s.server.SetKeepAlivesEnabled(false)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for s.conns.inUse(time.Now()) {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.server.Shutdown(ctx)
}
