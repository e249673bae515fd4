package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// server answers each connection with a script.
type server struct {
	net.Listener
	conns atomic.Int64
}

// serve calls f for each connection with its number from one on.
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

// read takes one request and returns its body.
func read(br *bufio.Reader) (string, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

func request(id, body string) *Request {
	return &Request{Method: "POST", Target: "/a//b?x=%2f", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body)}
}

func exchangeOnce(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, address, request(id, "ping"), func(h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

const whole = "HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 4\r\n\r\npong"

func answerTo(id string) string { return strings.ReplaceAll(whole, "%", id) }

func TestRequestGoesOutByteForByte(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	s := serve(t, func(_ int64, c net.Conn, _ *bufio.Reader) {
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		got <- string(b[:n])
		_, _ = io.WriteString(c, answerTo("1"))
	})
	_, err := exchangeOnce(NewPool(), s.Addr().String(), "1")
	is.NoErr(err)
	is.Equal(<-got, "POST /a//b?x=%2f HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n\r\nping")
}

func TestConnections(t *testing.T) {
	tests := []struct {
		name string
		// answer is what the upstream writes to the first request; % is its id.
		answer string
		// wantErr says that the first exchange must fail, conns how many connections two exchanges take.
		wantErr bool
		conns   int64
	}{
		{"a whole answer keeps the connection", whole, false, 1},
		{"chunks keep the connection", "HTTP/1.1 200 OK\r\nId: %\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npong\r\n0\r\n\r\n", false, 1},
		{"the upstream closes", strings.Replace(whole, "Id", "Connection: close\r\nId", 1), false, 2},
		{"bytes behind the answer", whole + "x", false, 2},
		{"a second answer behind the first", whole + whole, false, 2},
		{"an answer to an earlier request goes first", strings.ReplaceAll(whole, "%", "0") + whole, false, 1},
		{"only answers to others", strings.ReplaceAll(whole+whole+whole, "%", "0"), true, 2},
		{"no protocol", "garbage\r\n\r\n", true, 2},
		{"an informational answer goes first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, false, 1},
		{"a keep-alive time that is over", strings.Replace(whole, "Id", "Keep-Alive: timeout=0\r\nId", 1), false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(n int64, c net.Conn, br *bufio.Reader) {
				for i := 0; ; i++ {
					if _, err := read(br); err != nil {
						return
					}
					id := "1"
					text := tt.answer
					if n > 1 || i > 0 {
						id, text = "2", whole
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
			time.Sleep(20 * time.Millisecond) // Lets bytes behind the answer arrive.
			b, err = exchangeOnce(p, s.Addr().String(), "2")
			is.NoErr(err)
			is.Equal(b, "pong")
			is.Equal(s.conns.Load(), tt.conns)
		})
	}
}

// TestNothingIsSentTwice cuts a kept connection under a request, which http.Transport would repeat for some methods.
func TestNothingIsSentTwice(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := read(br); err != nil {
				return
			}
			if requests.Add(1) == 2 {
				return
			}
			_, _ = io.WriteString(c, answerTo("1"))
		}
	})
	p := NewPool()
	get := func() error {
		a, err := p.Do(context.Background(), s.Addr().String(), &Request{Method: "GET", Target: "/", Host: "h"},
			func(http.Header) bool { return true })
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

func TestUnsent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = exchangeOnce(NewPool(), address, "1")
	is.True(errors.Is(err, ErrUnsent))
}

func TestBrokenAnswersAreErrors(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"cut within its length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npong"},
		{"cut within its chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npong\r\n"},
		{"cut within its head", "HTTP/1.1 200 OK\r\nId: 1\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
				_, _ = read(br)
				_, _ = io.WriteString(c, tt.answer)
			})
			_, err := exchangeOnce(NewPool(), s.Addr().String(), "1")
			is.True(err != nil)
		})
	}
}

// TestEarlyAnswerToALongBody lets the upstream answer before it reads the body; the connection must not be used again.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		_, _ = br.Peek(1)
		_, _ = io.WriteString(c, answerTo("1"))
		<-done
	})
	defer close(done)
	p := NewPool()
	a, err := p.Do(context.Background(), s.Addr().String(), request("1", strings.Repeat("x", 16<<20)),
		func(http.Header) bool { return true })
	is.NoErr(err)
	b, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(b), "pong")
	a.Close()
	is.Equal(len(p.idle), 0)
}

func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(_ int64, _ net.Conn, br *bufio.Reader) {
		_, _ = read(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, s.Addr().String(), request("1", ""), func(http.Header) bool { return true })
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
}
