package gate

import (
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
)

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

func (g *Gate) logAnswered(kv []any) { telem.Debug(g.lg, "answered", kv...) }

func (g *Gate) logFailed(kv []any) { telem.Info(g.lg, "failed", kv...) }
