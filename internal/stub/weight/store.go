// Package weight is a stand-in for the platform's store of model weights, which has a limited read throughput.
package weight

import (
	"net/http"
	"strings"

	"golang.org/x/time/rate"
)

// chunkBytes is the size of one write.
const chunkBytes = 64 << 10

// Store serves GET /weights/NAME with a body of the configured size, for any name. All readers share one rate limit.
type Store struct {
	size    int
	limiter *rate.Limiter
}

// New returns a store whose weights are size bytes long and which sends bytesPerSecond to all readers together.
func New(size, bytesPerSecond int) *Store {
	return &Store{size: size, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), max(chunkBytes, bytesPerSecond))}
}

// ServeHTTP sends the weights in chunks at the shared rate.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, ok := strings.CutPrefix(r.URL.Path, "/weights/"); !ok {
		http.NotFound(w, r)
		return
	}
	chunk := make([]byte, chunkBytes)
	for left := s.size; left > 0; left -= chunkBytes {
		n := min(left, chunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
	}
}
