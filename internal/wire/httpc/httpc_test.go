package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// server is an upstream that runs a function on each connection.
type server struct {
	net.Listener
	conns atomic.Int64
}

// serve starts a server that calls f for each connection with its number, counted from one.
func serve(t *testing.T, f func(n int64, c net.Conn, br *bufio.Reader)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: ln}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			n := s.conns.Add(1)
			t.Cleanup(func() { _ = c.Close() })
			g.Go(func() error {
				defer c.Close()
				f(n, c, bufio.NewReader(c))
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = ln.Close() })
	return s
}

// readRequest reads one request and returns its body.
func readRequest(br *bufio.Reader) (string, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// serveEach starts a server that responds to each request on kept connections.
func serveEach(t *testing.T) *server {
	t.Helper()
	return serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, responseTo(r.Header.Get("Id")))
		}
	})
}

func request(id, body string) *Request {
	return &Request{ID: id, Method: "POST", Target: "/a//b?x=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body)}
}

func responseID(h http.Header) string { return h.Get("Id") }

func exchangeOnce(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, address, request(id, "ping"), responseID)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// pong is a complete response; % stands for the request's id.
const pong = "HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 4\r\n\r\npong"

func responseTo(id string) string { return strings.ReplaceAll(pong, "%", id) }

func TestRequestIsWrittenUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	s := serve(t, func(_ int64, c net.Conn, _ *bufio.Reader) {
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		got <- string(b[:n])
		_, _ = io.WriteString(c, responseTo("1"))
	})
	_, err := exchangeOnce(NewPool(), s.Addr().String(), "1")
	is.NoErr(err)
	is.Equal(<-got, "POST /a//b?x=%2f HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n\r\nping")
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name string
		// response is what the upstream writes in response to the first request. % stands for the request's id.
		response string
		// wantErr reports whether the first exchange must fail, and conns is the number of connections that two
		// exchanges open.
		wantErr bool
		conns   int64
	}{
		{"complete response", pong, false, 1},
		{
			"chunked response",
			"HTTP/1.1 200 OK\r\nId: %\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npong\r\n0\r\n\r\n", false, 1,
		},
		{"connection close", strings.Replace(pong, "Id", "Connection: close\r\nId", 1), false, 2},
		{"extra bytes after the response", pong + "x", false, 2},
		{"second response after the first", pong + pong, false, 2},
		{"response to an earlier request first", strings.ReplaceAll(pong, "%", "0") + pong, false, 1},
		{"only responses to other requests", strings.ReplaceAll(pong+pong+pong, "%", "0"), true, 2},
		{"not HTTP", "garbage\r\n\r\n", true, 2},
		{"informational response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + pong, false, 1},
		{"keep-alive timeout of zero", strings.Replace(pong, "Id", "Keep-Alive: timeout=0\r\nId", 1), false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(n int64, c net.Conn, br *bufio.Reader) {
				for i := 0; ; i++ {
					if _, err := readRequest(br); err != nil {
						return
					}
					id := "1"
					text := tt.response
					if n > 1 || i > 0 {
						id, text = "2", pong
					}
					_, _ = io.WriteString(c, strings.ReplaceAll(text, "%", id))
				}
			})
			p := NewPool()
			b, err := exchangeOnce(p, s.Addr().String(), "1")
			is.Equal(err != nil, tt.wantErr)
			if err == nil {
				is.Equal(b, "pong")
			}
			time.Sleep(20 * time.Millisecond) // Lets bytes after the response arrive.
			b, err = exchangeOnce(p, s.Addr().String(), "2")
			is.NoErr(err)
			is.Equal(b, "pong")
			is.Equal(s.conns.Load(), tt.conns)
		})
	}
}

// TestRepeatedResponse guards against taking a repeated response to an earlier request, or to an earlier attempt of the
// same one, for the response to a later one on the same connection.
func TestRepeatedResponse(t *testing.T) {
	tests := []struct {
		name string
		// first is the response to the first request on each connection; it is written again before those to later ones.
		// % stands for the request's ID.
		first, firstID, secondID string
		// wantErr reports whether the second exchange must fail, conns is the number of connections that both open.
		wantErr bool
		conns   int64
	}{
		{"other request", responseTo("1"), "1", "2", false, 1},
		{"another attempt of the request", responseTo("1"), "1", "1", false, 2},
		{"without an ID", strings.Replace(pong, "Id: %\r\n", "", 1), "1", "2", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
				for i := 0; ; i++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, tt.first)
					if i > 0 {
						_, _ = io.WriteString(c, strings.Replace(responseTo(r.Header.Get("Id")), "pong", "good", 1))
					}
				}
			})
			p := NewPool()
			b, err := exchangeOnce(p, s.Addr().String(), tt.firstID)
			is.NoErr(err)
			is.Equal(b, "pong")
			b, err = exchangeOnce(p, s.Addr().String(), tt.secondID)
			is.Equal(err != nil, tt.wantErr)
			is.Equal(errors.Is(err, ErrMismatchedResponse), tt.wantErr)
			if tt.conns == 1 && !tt.wantErr {
				is.Equal(b, "good")
			}
			is.Equal(s.conns.Load(), tt.conns)
		})
	}
}

// TestConnectionIsReplacedAfterMaxExchanges checks the bound on the IDs that a connection remembers.
func TestConnectionIsReplacedAfterMaxExchanges(t *testing.T) {
	is := is.New(t)
	s := serveEach(t)
	p := NewPool()
	for i := range maxExchanges + 1 {
		_, err := exchangeOnce(p, s.Addr().String(), strconv.Itoa(i))
		is.NoErr(err)
	}
	is.Equal(s.conns.Load(), int64(2))
}

// TestRequestIsNotRetried closes a reused connection after it carried a request. http.Transport would retry the request
// for some methods; this client must not.
func TestRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			if requests.Add(1) == 2 {
				return
			}
			_, _ = io.WriteString(c, responseTo("1"))
		}
	})
	p := NewPool()
	get := func() error {
		a, err := p.Do(context.Background(), s.Addr().String(), &Request{Method: "GET", Target: "/", Host: "h"},
			func(http.Header) string { return "" })
		if err != nil {
			return err
		}
		defer a.Close()
		_, err = io.ReadAll(a.Body)
		return err
	}
	is.NoErr(get())
	err := get()
	is.True(err != nil)
	is.True(!errors.Is(err, ErrUnsent))
	is.Equal(requests.Load(), int64(2))
}

func TestUnsentRequest(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = exchangeOnce(NewPool(), address, "1")
	is.True(errors.Is(err, ErrUnsent))
}

func TestTruncatedResponse(t *testing.T) {
	tests := []struct{ name, response string }{
		{"truncated body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npong"},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npong\r\n"},
		{"truncated headers", "HTTP/1.1 200 OK\r\nId: 1\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
				_, _ = readRequest(br)
				_, _ = io.WriteString(c, tt.response)
			})
			_, err := exchangeOnce(NewPool(), s.Addr().String(), "1")
			is.True(err != nil)
		})
	}
}

// TestResponseBeforeRequestBodyIsRead has the upstream respond before it reads the request body. The connection must
// not be reused, since part of the request is still unsent.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		_, _ = br.Peek(1)
		_, _ = io.WriteString(c, responseTo("1"))
		<-done
	})
	defer close(done)
	p := NewPool()
	a, err := p.Do(context.Background(), s.Addr().String(), request("1", strings.Repeat("x", 16<<20)),
		responseID)
	is.NoErr(err)
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(b), "pong")
	a.Close()
	is.Equal(len(p.idle), 0)
}

func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(_ int64, _ net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, s.Addr().String(), request("1", ""), responseID)
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("connection is still open after the context was cancelled")
	}
}

// TestConnectionOfAnIncompleteResponseIsNotReused guards against a request that fails on a connection which the upstream
// is closing, since its last response was framed as complete and was not.
func TestConnectionOfAnIncompleteResponseIsNotReused(t *testing.T) {
	for _, incomplete := range []bool{false, true} {
		is := is.New(t)
		s := serveEach(t)
		p := NewPool()
		resp, err := p.Do(t.Context(), s.Addr().String(), request("1", ""), responseID)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		if incomplete {
			resp.MarkIncomplete()
		}
		resp.Close()
		_, err = exchangeOnce(p, s.Addr().String(), "2")
		is.NoErr(err)
		is.Equal(s.conns.Load() == 2, incomplete)
	}
}

// TestCheckedRequestIsNotSent guards against a request that is sent although it may no longer be: the check is made when the
// connection exists.
func TestCheckedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := serveEach(t)
	p := NewPool()
	errLate := errors.New("late")
	q := request("1", "ping")
	q.Check = func() error { return errLate }
	_, err := p.Do(t.Context(), s.Addr().String(), q, responseID)
	is.True(errors.Is(err, ErrUnsent))
	is.True(errors.Is(err, errLate))
	q.Check = func() error { return nil }
	a, err := p.Do(t.Context(), s.Addr().String(), q, responseID)
	is.NoErr(err)
	a.Close()
}
