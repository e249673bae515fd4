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

// enter counts a reader in; the function returned counts it out.
func (r *readers) enter(id string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == nil {
		r.n = make(map[string]int)
	}
	r.n[id]++
	return func() { r.leave(id) }
}

func (r *readers) leave(id string) {
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

// framePosition returns the position from which a reader goes on.
func framePosition(r *http.Request) (int, error) {
	pos, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || pos < 0 {
		return 0, errors.Newf("from %q is not a position", r.URL.Query().Get("from"))
	}
	return pos, nil
}
