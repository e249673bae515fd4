package telem

import (
	"expvar"
	"net/http"
)

// Metrics holds the metrics of one process. Counters and gauges are served under the key galenaward.
type Metrics struct {
	vars      *expvar.Map
	latencies latencies
	writers   writers
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{vars: new(expvar.Map).Init()} }

// Add adds n to the named counter.
func (m *Metrics) Add(name string, n int64) { m.vars.Add(name, n) }

// Gauge registers a gauge whose value is computed by f when metrics are read.
func (m *Metrics) Gauge(name string, f func() int64) {
	m.vars.Set(name, expvar.Func(func() any { return f() }))
}

// Get returns the value of the named counter; zero if it does not exist.
func (m *Metrics) Get(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Handler serves the metrics as JSON together with the variables published through expvar, such as memstats.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"galenaward":` + m.vars.String()))
		expvar.Do(func(kv expvar.KeyValue) {
			_, _ = w.Write([]byte(`,"` + kv.Key + `":` + kv.Value.String()))
		})
		_, _ = w.Write([]byte("}\n"))
	})
}
