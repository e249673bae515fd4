package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzAnswer reads whatever an upstream sends: it must end, and a body that counts as whole must have come under a head of
// the request's own.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 999999999 X\r\n\r\n", "\x00", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		defer near.Close()
		written := make(chan struct{})
		go func() {
			defer close(written)
			_ = far.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(answer)
			}
			_ = far.Close()
		}()
		p := NewPool()
		c := newConn(near)
		c.expires = time.Now().Add(time.Hour)
		p.idle["a"] = []*conn{c}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a, err := p.Do(ctx, "a", request("a", ""), func(h http.Header) bool { return h.Get("Id") == "a" })
		if err == nil {
			if a.Header.Get("Id") != "a" {
				t.Fatal("the answer to another request was taken")
			}
			_, err = io.Copy(io.Discard, io.LimitReader(a.Body, 1<<20))
			a.Close()
		}
		if errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("%d bytes were not read to their end", len(answer))
		}
		_ = near.Close()
		<-written
	})
}
