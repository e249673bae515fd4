package gate

import (
	"sync"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
)

// maxAnsweredLogsPerSecond bounds the log lines about successful calls; failures are always logged.
const maxAnsweredLogsPerSecond = 50

// sampler limits the log lines per second and counts those left out. The zero value is ready for use.
type sampler struct {
	mu      sync.Mutex
	second  int64
	passed  int
	skipped int64
}

// allow reports whether a line may be written, and how many were left out before it.
func (s *sampler) allow(now time.Time) (ok bool, skipped int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sec := now.Unix(); sec != s.second {
		s.second, s.passed = sec, 0
	}
	if s.passed >= maxAnsweredLogsPerSecond {
		s.skipped++
		return false, 0
	}
	s.passed++
	skipped, s.skipped = s.skipped, 0
	return true, skipped
}

// recordMetrics counts a call and records its latency.
func (g *Gateway) recordMetrics(kind string, took time.Duration, f *fault.Fault) {
	if kind == "" {
		kind = "unrouted"
	}
	if f != nil {
		g.metrics.Add("failed_"+string(f.Code), 1)
		return
	}
	g.metrics.Add("answered_"+kind, 1)
	g.metrics.Observe("latency_"+kind, took)
}

func (g *Gateway) logAnswered(kv []any) {
	if ok, skipped := g.answeredSampler.allow(time.Now()); ok {
		telem.Info(g.logger, "answered", append(kv, "unlogged_before", skipped)...)
	}
}

func (g *Gateway) logFailed(kv []any) { telem.Info(g.logger, "failed", kv...) }
