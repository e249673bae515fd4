package gate

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// readers counts the connections that read each stream. The zero value is ready for use.
type readers struct {
	mu sync.Mutex
	n  map[string]int
}

// add counts a reader; the returned function removes it again.
func (r *readers) add(id string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == nil {
		r.n = make(map[string]int)
	}
	r.n[id]++
	return func() { r.remove(id) }
}

func (r *readers) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n[id]--; r.n[id] == 0 {
		delete(r.n, id)
	}
}

func (r *readers) any(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[id] > 0
}

// none reports whether no connection reads a stream.
func (r *readers) none() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.n) == 0
}

// framePosition returns the frame position at which a reader wants to continue.
func framePosition(r *http.Request) (int, error) {
	pos, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || pos < 0 {
		return 0, errors.Newf("invalid frame position %q", r.URL.Query().Get("from"))
	}
	return pos, nil
}
