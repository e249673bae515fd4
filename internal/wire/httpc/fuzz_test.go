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

// FuzzResponse feeds arbitrary bytes to the client as a response on a reused connection. Reading must terminate, and a response must be
// returned only if its headers carry the id of the request.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 999999999 X\r\n\r\n", "\x00",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		client, server := net.Pipe()
		defer client.Close()
		written := make(chan struct{})
		go func() {
			defer close(written)
			_ = server.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = server.Write(response)
			}
			_ = server.Close()
		}()
		p := NewPool()
		c := newConn(client)
		c.expires = time.Now().Add(time.Hour)
		c.carried = []uint64{0}
		p.idle["a"] = []*conn{c}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a, err := p.Do(ctx, "a", request("a", ""), responseID)
		if err == nil {
			if a.Header.Get("Id") != "a" {
				t.Fatal("accepted a response to another request")
			}
			_, err = io.Copy(io.Discard, io.LimitReader(a.Body, 1<<20))
			a.Close()
		}
		if errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("timed out while reading a response of %d bytes", len(response))
		}
		_ = client.Close()
		<-written
	})
}
