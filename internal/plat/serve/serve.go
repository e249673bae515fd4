// Package serve runs HTTP servers with limits for slow and idle clients, and shuts them down gracefully.
package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"galenaward.example/galenaward/internal/plat/group"
)

// Options limit the resources that clients may use.
type Options struct {
	// ReadTimeout bounds the time to send one request, body included.
	ReadTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxConnections bounds the number of open connections; zero for no limit.
	MaxConnections int
	// MaxHeaderBytes bounds the size of the request headers.
	MaxHeaderBytes int
}

// Server is a running HTTP server.
type Server struct {
	server *http.Server
	addr   string
}

// Start listens on the address and serves requests in the group's goroutines. The end of the group's context closes all
// connections; call Drain before it to let requests finish.
func Start(g *group.Group, address string, h http.Handler, o Options) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	s := &Server{addr: ln.Addr().String(), server: &http.Server{
		Handler: h, ReadTimeout: o.ReadTimeout, ReadHeaderTimeout: o.ReadTimeout,
		IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
	}}
	if o.MaxConnections > 0 {
		ln = netutil.LimitListener(ln, o.MaxConnections)
	}
	g.Go(func(context.Context) error {
		if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
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

// Addr returns the address that the server listens on, with the port chosen if the given one was zero.
func (s *Server) Addr() string { return s.addr }

// Drain stops accepting connections and returns when all requests are done or ctx ends.
func (s *Server) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }
