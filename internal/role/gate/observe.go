package gate

import (
	"sync"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
)

// answeredPerSecond bounds the log lines about whole answers; failures are always logged.
const answeredPerSecond = 50

// sampler lets a number of lines pass each second and counts the others. The zero value is ready for use.
type sampler struct {
	mu      sync.Mutex
	second  int64
	passed  int
	skipped int64
}

// pass reports whether a line may be written, and how many were left out before it.
func (s *sampler) pass(now time.Time) (ok bool, skipped int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sec := now.Unix(); sec != s.second {
		s.second, s.passed = sec, 0
	}
	if s.passed >= answeredPerSecond {
		s.skipped++
		return false, 0
	}
	s.passed++
	skipped, s.skipped = s.skipped, 0
	return true, skipped
}

// observe counts a call and its time.
func (g *Gate) observe(kind string, took time.Duration, f *fault.Fault) {
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

func (g *Gate) logAnswered(kv []any) {
	if ok, skipped := g.sampled.pass(time.Now()); ok {
		telem.Info(g.lg, "answered", append(kv, "unlogged_before", skipped)...)
	}
}

func (g *Gate) logFailed(kv []any) { telem.Info(g.lg, "failed", kv...) }
