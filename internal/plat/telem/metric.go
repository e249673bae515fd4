package telem

import (
	"expvar"
	"net/http"
)

// Metrics is the expvar map of one process; its counters appear under the key galenaward.
type Metrics struct {
	m         *expvar.Map
	latencies latencies
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{m: new(expvar.Map).Init()} }

// Add adds n to the counter with the name.
func (m *Metrics) Add(name string, n int64) { m.m.Add(name, n) }

// Gauge shows the value that f returns at the time of reading.
func (m *Metrics) Gauge(name string, f func() int64) {
	m.m.Set(name, expvar.Func(func() any { return f() }))
}

// Get returns the counter's value, zero when it was never added to.
func (m *Metrics) Get(name string) int64 {
	if v, ok := m.m.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Handler serves the metrics as JSON, with the runtime's own variables.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"galenaward":` + m.m.String()))
		expvar.Do(func(kv expvar.KeyValue) {
			_, _ = w.Write([]byte(`,"` + kv.Key + `":` + kv.Value.String()))
		})
		_, _ = w.Write([]byte("}\n"))
	})
}
