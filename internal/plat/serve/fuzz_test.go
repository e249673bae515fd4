package serve

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// chunkedConn is a connection that delivers its input in parts of a few bytes.
type chunkedConn struct {
	net.Conn
	input []byte
	part  int
}

// Read implements net.Conn.
func (c *chunkedConn) Read(p []byte) (int, error) {
	if len(c.input) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.input[:min(len(c.input), c.part)])
	c.input = c.input[n:]
	return n, nil
}

// SetWriteDeadline implements net.Conn.
func (c *chunkedConn) SetWriteDeadline(time.Time) error { return nil }

var headSeeds = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length:\r\n 5\r\n\r\nhelloGET /b HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\ncontent-LENGTH:\t0005 \r\n\r\nhelloGET /b HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: " + strings.Repeat("0", 80) + "5\r\n\r\nhelloGET /b HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\nh\r\n0\r\nT: 1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"GET / HTTP/1.1\r\na:\r\nb:\r\n \r\n\tc\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"\r\n\r\nGET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.1\r\n\r\r\n\r\n",
}

// FuzzHeads checks that limiting a connection changes nothing about its requests, and that the limits apply to each
// request by itself: after a request whose end is tracked, the next byte that is read belongs to the next one.
func FuzzHeads(f *testing.F) {
	for i, s := range headSeeds {
		f.Add([]byte(s), byte(i*7))
	}
	f.Fuzz(func(t *testing.T, input []byte, part byte) {
		l := newListener(nil, Options{})
		c := &conn{Conn: &chunkedConn{input: bytes.Clone(input), part: int(part) + 1}, listener: l}
		limited, direct := bufio.NewReader(c), bufio.NewReader(bytes.NewReader(input))
		for {
			got, gotBody, gotErr := readOne(limited)
			want, wantBody, wantErr := readOne(direct)
			if (gotErr == nil) != (wantErr == nil) {
				t.Fatalf("error %v, without limits %v", gotErr, wantErr)
			}
			if gotErr != nil {
				return
			}
			if got.Method != want.Method || got.RequestURI != want.RequestURI || got.Host != want.Host ||
				!maps.EqualFunc(got.Header, want.Header, slices.Equal) || !bytes.Equal(gotBody, wantBody) {
				t.Fatalf("got %v %q, without limits %v %q", got, gotBody, want, wantBody)
			}
			if c.last {
				continue
			}
			if c.scanner.phase != phaseLead || c.scanner.current != (head{}) || limited.Buffered() != 0 {
				t.Fatalf("phase %v, head %+v, %d bytes buffered after a request", c.scanner.phase, c.scanner.current,
					limited.Buffered())
			}
			c.idle(time.Now())
		}
	})
}

func readOne(r *bufio.Reader) (*http.Request, []byte, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	b, err := io.ReadAll(q.Body)
	return q, b, err
}
