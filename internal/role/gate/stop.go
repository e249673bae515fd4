package gate

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// drainTime is how long a stopping gateway keeps accepting requests. The load balancer probes once a second and
	// removes a process after two failed probes.
	drainTime = 2300 * time.Millisecond
	stopStep  = 20 * time.Millisecond
)

// stopping records whether a graceful stop has begun. The zero value is ready for use.
type stopping struct{ on atomic.Bool }

func (s *stopping) begun() bool { return s.on.Load() }

// Stopping reports whether callers should be told to use another connection for their next request.
func (g *Gateway) Stopping() bool { return g.stop.begun() }

// Stop hands over the partitions and returns when the load balancer has taken the process out or ctx ends. Requests are
// served until then.
func (g *Gateway) Stop(ctx context.Context) {
	g.stop.on.Store(true)
	g.ready.Set(false)
	g.logEvent("stopping")
	began := time.Now()
	g.owner.Leave(ctx)
	g.pokePeers(ctx)
	select {
	case <-time.After(drainTime - time.Since(began)):
	case <-ctx.Done():
	}
}
