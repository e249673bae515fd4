package telem

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the highest latency that a histogram can record, one minute.
	maxMicros = 60_000_000
	// significantDigits is the precision of histograms.
	significantDigits = 2
)

// percentiles are the percentiles that are printed for a histogram.
var percentiles = []float64{50, 90, 95, 99, 100}

// latencies holds histograms by name. The zero value is ready for use.
type latencies struct {
	mu sync.Mutex
	m  map[string]*hdrhistogram.Histogram
}

func (l *latencies) observe(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = make(map[string]*hdrhistogram.Histogram)
	}
	h, ok := l.m[name]
	if !ok {
		h = hdrhistogram.New(1, maxMicros, significantDigits)
		l.m[name] = h
	}
	// A value above the range is recorded as the highest one.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

// write prints the count and the percentiles, in microseconds, of each histogram.
func (l *latencies) write(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.m))
	for n := range l.m {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		h := l.m[n]
		fmt.Fprintf(w, "%s_count %d\n", n, h.TotalCount())
		for _, q := range percentiles {
			fmt.Fprintf(w, "%s_us{quantile=\"%g\"} %d\n", n, q/100, h.ValueAtQuantile(q))
		}
	}
}

// Observe records a latency in the named histogram.
func (m *Metrics) Observe(name string, d time.Duration) { m.latencies.observe(name, d) }

// TextHandler serves counters, gauges and latency histograms as plain text, one value per line.
func (m *Metrics) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		var b strings.Builder
		m.vars.Do(func(kv expvar.KeyValue) { fmt.Fprintf(&b, "%s %s\n", kv.Key, kv.Value) })
		m.latencies.write(&b)
		m.writers.write(&b)
		_, _ = io.WriteString(w, b.String())
	})
}
