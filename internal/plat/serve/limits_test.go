package serve

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
)

// TestBudgetKeepsAReserveForSmallRequests guards against large requests that use up the memory of small ones, and
// against a request that is refused although it is alone.
func TestBudgetKeepsAReserveForSmallRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const mb = 1 << 20
		b := NewBudget(4*mb, 500*time.Millisecond)
		ctx := t.Context()
		is.True(b.Reserve(ctx, 3*mb, 0))
		began := time.Now()
		is.True(!b.Reserve(ctx, mb, 0)) // It would use the reserve.
		is.Equal(time.Since(began), 500*time.Millisecond)
		is.True(b.Reserve(ctx, smallRequest, 0))
		is.True(!b.Reserve(ctx, 1, smallRequest)) // No longer a small one.
		b.Release(smallRequest)
		is.True(b.Reserve(ctx, 8*mb, 3*mb)) // It is the only one.
		b.Release(11 * mb)
		is.Equal(b.Used(), int64(0))
	})
}

// TestBudgetWaitsForReleases guards against a waiting request that does not notice released memory.
func TestBudgetWaitsForReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const mb = 1 << 20
		b := NewBudget(4*mb, time.Second)
		is.True(b.Reserve(t.Context(), 3*mb, 0))
		var eg errgroup.Group
		var took [3]time.Duration
		for i := range took {
			eg.Go(func() error {
				began := time.Now()
				if !b.Reserve(t.Context(), mb, 0) {
					return fmt.Errorf("request %d got no memory", i)
				}
				took[i] = time.Since(began)
				return nil
			})
		}
		time.Sleep(300 * time.Millisecond)
		b.Release(3 * mb)
		is.NoErr(eg.Wait())
		is.Equal(took, [3]time.Duration{300 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond})
		is.Equal(b.Used(), int64(3*mb))
	})
}

// TestBudgetBoundsItsWaiters guards against a crowd of waiting requests, each of which is woken by each release.
func TestBudgetBoundsItsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget(1<<20, time.Second)
		is.True(b.Reserve(t.Context(), 1<<20, 0))
		var eg errgroup.Group
		for range maxBudgetWaiters {
			eg.Go(func() error {
				b.Reserve(t.Context(), 1<<20, 0)
				return nil
			})
		}
		synctest.Wait()
		began := time.Now()
		is.True(!b.Reserve(t.Context(), 1<<20, 0))
		is.Equal(time.Since(began), time.Duration(0))
		is.NoErr(eg.Wait())
		is.Equal(b.waiters.Load(), int64(0))
	})
}

// TestScannerFollowsRequests guards against limits that count two requests as one, or that lose the end of a head.
func TestScannerFollowsRequests(t *testing.T) {
	tests := []struct {
		name, input string
		heads       []head
		end         phase
	}{
		{"one", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", []head{{0, 27, 3}}, phaseLead},
		{"line feeds only", "GET / HTTP/1.1\nHost: h\n\n", []head{{0, 24, 3}}, phaseLead},
		{"empty lines before", "\r\n\nGET / HTTP/1.1\r\n\r\n", []head{{3, 18, 2}}, phaseLead},
		{"incomplete", "GET / HTTP/1.1\r\na:\r\n", nil, phaseHead},
		{"incomplete body", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", []head{{0, 38, 3}}, phaseBody},
		{
			"after a body", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
			[]head{{0, 38, 3}, {0, 18, 2}},
			phaseLead,
		},
		{"chunked", "POST / HTTP/1.1\r\ntransfer-encoding: x\r\n\r\nabc", []head{{0, 41, 3}}, phaseOpen},
		{"continued line", "POST / HTTP/1.1\r\na: b\r\n c\r\n\r\nabc", []head{{0, 29, 4}}, phaseOpen},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for part := 1; part <= len(tt.input); part++ {
				is := is.New(t)
				var s scanner
				var heads []head
				for rest := []byte(tt.input); len(rest) > 0; {
					n, ended := s.scan(rest[:min(part, len(rest))])
					if ended {
						heads = append(heads, s.done)
					}
					rest = rest[n:]
				}
				is.Equal(heads, tt.heads)
				is.Equal(s.phase, tt.end)
			}
		})
	}
}

// startLimited starts a server for a handler that reads the body.
func startLimited(t *testing.T, o Options, h http.HandlerFunc) *Server {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g := group.New(ctx)
	s, err := Start(g, "127.0.0.1:0", h, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // The context ends the server.
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func answerBody(w http.ResponseWriter, r *http.Request) {
	b, err := ReadBody(r.Body, r.ContentLength)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "%s %d", r.URL.Path, len(b))
}

// TestHeadsOverALimitAreRefused guards against heads that are read without a bound, and against a refusal that the
// caller cannot read.
func TestHeadsOverALimitAreRefused(t *testing.T) {
	o := Options{MaxHeaderBytes: 8 << 10, MaxHeaderLines: 100, MaxLeadingBytes: 64, Budget: NewBudget(64<<20, time.Second)}
	tests := []struct {
		name, kind, head string
		status           int
	}{
		{"a long line", "head_bytes", "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("x", 9<<10), 431},
		{"many lines", "head_lines", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 101), 431},
		{"empty lines", "leading_bytes", strings.Repeat("\r\n", 33), 400},
		{"within the limits", "", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 90) + "\r\n", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := o
			o.Metrics = telem.NewMetrics()
			c := dial(t, startLimited(t, o, answerBody))
			_, err := c.Write([]byte(tt.head))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
			if tt.kind != "" {
				is.Equal(o.Metrics.Get("refused_"+tt.kind), int64(1))
			}
			is.Equal(o.Budget.Used(), int64(0))
		})
	}
}

// TestMemoryIsReleasedAfterEachRequest guards against reservations that outlive their request, also where a caller
// pipelines, disconnects or is refused.
func TestMemoryIsReleasedAfterEachRequest(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, 10*time.Millisecond)
	s := startLimited(t, Options{MaxHeaderBytes: 64 << 10, Budget: b}, answerBody)
	large := "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 4_000_000)
	lines := "GET /lines HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n"
	body := "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("x", 50_000)
	for _, sent := range []string{lines + body + lines, large, lines[:len(lines)-2], body[:len(body)-2]} {
		c := dial(t, s)
		_, err := c.Write([]byte(sent))
		is.NoErr(err)
		if sent == large { // A request that is alone gets memory beyond the budget.
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		}
		time.Sleep(20 * time.Millisecond)
		is.NoErr(c.Close())
		for until := time.Now().Add(20 * time.Second); b.Used() != 0 && time.Now().Before(until); {
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(b.Used(), int64(0))
	}
}

// TestBodyWithoutMemoryIsRefused guards against a body that is read although other requests use all memory.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, 10*time.Millisecond)
	s := startLimited(t, Options{Budget: b}, answerBody)
	is.True(b.Reserve(t.Context(), 1<<20, 0))
	c := dial(t, s)
	_, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}

// TestConnectionLimits guards against waiting connections that lock others out, against the eviction of one that carries
// a request, and against more connections than allowed.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	m := telem.NewMetrics()
	s := startLimited(t, Options{MaxConnections: 2, Metrics: m}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			entered <- struct{}{}
			<-leave
		}
	})
	get := func(c net.Conn, path string) {
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		is.NoErr(err)
	}
	answered := func(c net.Conn) {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	first, second := dial(t, s), dial(t, s)
	get(first, "/hold")
	<-entered
	third := dial(t, s) // Takes the place of the second, which waits.
	get(third, "/hold")
	<-entered
	_, err := second.Read(make([]byte, 1))
	is.True(err != nil)
	fourth := dial(t, s) // Both places carry a request.
	_, err = fourth.Read(make([]byte, 1))
	is.True(err != nil)
	close(leave)
	answered(first)
	answered(third)
	is.Equal(m.Get("refused_connection_evicted"), int64(1))
	is.Equal(m.Get("refused_connections"), int64(1))
	is.Equal(s.Connections(), 2)
}

// TestConnectionsFromOneAddress guards against one address that takes more connections than allowed.
func TestConnectionsFromOneAddress(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, Options{MaxPerAddress: 1}, answerBody)
	first := dial(t, s)
	for until := time.Now().Add(20 * time.Second); s.Connections() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	_, err := dial(t, s).Read(make([]byte, 1))
	is.True(err == io.EOF)
	is.NoErr(first.Close())
}

// TestUnreadResponseEndsTheConnection guards against a goroutine and a descriptor that a caller holds for good.
func TestUnreadResponseEndsTheConnection(t *testing.T) {
	is := is.New(t)
	m := telem.NewMetrics()
	ended := make(chan error, 1)
	s := startLimited(t, Options{WriteTimeout: 50 * time.Millisecond, Metrics: m},
		func(w http.ResponseWriter, _ *http.Request) {
			_, err := io.Copy(w, io.LimitReader(zeros{}, 1<<30))
			ended <- err
		})
	c := dial(t, s)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.True(<-ended != nil)
	is.Equal(m.Get("refused_unread_response"), int64(1))
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestRefusalLogIsBounded guards against a log line for each of many refusals.
func TestRefusalLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		m := telem.NewMetrics()
		l := newListener(fixedAddr{}, Options{Metrics: m, Log: log.NewJSONLogger(&out)})
		for range 3 {
			for range 100 {
				l.refused("head_bytes", &net.TCPAddr{}, 1, 1)
			}
			l.refused("connections", &net.TCPAddr{}, 1, 1)
			time.Sleep(time.Second)
		}
		is.Equal(strings.Count(out.String(), "\n"), 6)
		is.Equal(strings.Count(out.String(), `"unlogged_before":99`), 2)
		is.Equal(m.Get("refused_head_bytes"), int64(300))
	})
}

type fixedAddr struct{ net.Listener }

// Addr implements net.Listener.
func (fixedAddr) Addr() net.Addr { return &net.TCPAddr{} }
