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
	// longestMicros is the longest latency that a histogram tells apart, one minute.
	longestMicros = 60_000_000
	// significantDigits is the precision of histograms.
	significantDigits = 2
)

// quantiles are what a histogram shows, in percent.
var quantiles = []float64{50, 90, 95, 99, 100}

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
		h = hdrhistogram.New(1, longestMicros, significantDigits)
		l.m[name] = h
	}
	// A value above the range counts as the longest.
	_ = h.RecordValue(min(max(1, d.Microseconds()), longestMicros))
}

// write prints each histogram as count and quantiles in microseconds.
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
		for _, q := range quantiles {
			fmt.Fprintf(w, "%s_us{quantile=\"%g\"} %d\n", n, q/100, h.ValueAtQuantile(q))
		}
	}
}

// Observe adds a latency to the histogram with the name.
func (m *Metrics) Observe(name string, d time.Duration) { m.latencies.observe(name, d) }

// TextHandler serves counters, gauges and latency histograms as lines of text.
func (m *Metrics) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		var b strings.Builder
		m.m.Do(func(kv expvar.KeyValue) { fmt.Fprintf(&b, "%s %s\n", kv.Key, kv.Value) })
		m.latencies.write(&b)
		_, _ = io.WriteString(w, b.String())
	})
}
