package gate

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// unreadyTime is how long a stopping gateway goes on taking requests; the balancer asks once a second and takes a
	// process out after two refusals.
	unreadyTime = 2300 * time.Millisecond
	stopStep    = 20 * time.Millisecond
)

// stopping tells whether a graceful stop has begun. The zero value is ready for use.
type stopping struct{ on atomic.Bool }

func (s *stopping) begun() bool { return s.on.Load() }

// Stopping reports whether callers should be told to use another connection for their next request.
func (g *Gate) Stopping() bool { return g.stop.begun() }

// Stop hands the partitions over and returns when callers have gone elsewhere or ctx ends. Requests are served all
// the while.
func (g *Gate) Stop(ctx context.Context) {
	g.stop.on.Store(true)
	g.ready.Set(false)
	g.note("stopping")
	began := time.Now()
	g.owner.Leave(ctx)
	g.pokePeers(ctx)
	select {
	case <-time.After(unreadyTime - time.Since(began)):
	case <-ctx.Done():
	}
}
