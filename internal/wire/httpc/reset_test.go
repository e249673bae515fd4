package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestResetDuringRequestIsNotTheEndOfAResponse guards against a truncated response without a framing that counts as
// complete: the system reports a reset once per socket, so the background write of a long request can take the error,
// and the reader then sees an ordinary end.
func TestResetDuringRequestIsNotTheEndOfAResponse(t *testing.T) {
	const tries = 300
	s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		_, _ = br.Peek(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // Unread bytes reset the connection in any case.
	})
	long := request("1", strings.Repeat("x", 8<<20))
	complete, toWriter := 0, 0
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		resp, err := NewPool().Do(ctx, s.Addr().String(), long, responseID)
		if err != nil {
			cancel()
			continue
		}
		_, err = io.ReadAll(resp.Body)
		<-resp.ex.writeEnded
		if resp.WriteError() != nil {
			toWriter++
		}
		if err == nil {
			complete++
		}
		resp.Close()
		cancel()
	}
	t.Logf("in %d of %d tries the write failed", toWriter, tries)
	if toWriter == 0 {
		t.Errorf("the write failed in none of %d tries, so the case was not reached", tries)
	}
	if complete > 0 {
		t.Errorf("%d of %d truncated responses were complete to the reader", complete, tries)
	}
}
