package serve

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedTimeout is the age from which a connection that has carried no request counts as idle.
const unusedTimeout = 5 * time.Second

// connTracker knows the open connections of a server. The zero value is ready for use.
type connTracker struct {
	mu sync.Mutex
	// unused holds when each connection without a request was accepted, used those that have carried one.
	unused map[net.Conn]time.Time
	used   map[net.Conn]struct{}
}

// observe is the server's ConnState callback.
func (t *connTracker) observe(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.used == nil {
		t.unused, t.used = make(map[net.Conn]time.Time), make(map[net.Conn]struct{})
	}
	switch state {
	case http.StateNew:
		t.unused[c] = time.Now()
	case http.StateActive:
		delete(t.unused, c)
		t.used[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(t.unused, c)
		delete(t.used, c)
	}
}

// inUse reports whether a connection is open that carries a request or may soon carry its first one.
func (t *connTracker) inUse(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.used) > 0 {
		return true
	}
	for _, accepted := range t.unused {
		if now.Sub(accepted) < unusedTimeout {
			return true
		}
	}
	return false
}
