package httpc

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestInvalidStatusIsNoResponse guards against bytes whose status code is none of HTTP's that are taken for a response, or for an
// informational one, so that what follows them is.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-01", "0x1", "101", "600", "999"} {
		for _, rest := range []string{"", pong} {
			t.Run(status+" "+rest, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, func(_ int64, c net.Conn, br *bufio.Reader) {
					if _, err := readRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
					_, _ = io.WriteString(c, strings.ReplaceAll(rest, "%", "1"))
					_, _ = br.ReadByte() // Until the client closes.
				})
				began := time.Now()
				_, err := exchangeOnce(NewPool(), s.Addr().String(), "1")
				is.True(err != nil)
				is.True(!errors.Is(err, ErrUnsent)) // The upstream may have run the request.
				is.True(time.Since(began) < 2*time.Second)
			})
		}
	}
}
