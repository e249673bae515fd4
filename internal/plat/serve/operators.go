package serve

import (
	"net/http"
	"sync/atomic"

	"galenaward.example/galenaward/internal/plat/telem"
)

// Readiness is an HTTP handler that reports to the platform's load balancer whether the process accepts new work.
type Readiness struct{ ready atomic.Bool }

// Set sets whether the process is ready.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// IsReady reports whether the process is ready.
func (r *Readiness) IsReady() bool { return r.ready.Load() }

// ServeHTTP responds with status 200 while the process is ready and 503 otherwise.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() {
		http.Error(w, "unready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// NewOperatorHandler returns the handler for the operators' address, which serves /ready, /live and /debug/vars.
func NewOperatorHandler(ready *Readiness, m *telem.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /ready", ready)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.Handle("GET /debug/vars", m.Handler())
	return mux
}
