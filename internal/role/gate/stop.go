package gate

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
)

const (
	// drainTime is how long a stopping gateway keeps accepting requests. The load balancer probes once a second and
	// removes a process after two failed probes.
	drainTime = 2300 * time.Millisecond
	// leaveReserve is the time before the end of a graceful stop that is kept for handing over partitions, also if the
	// store does not confirm appends.
	leaveReserve = 1500 * time.Millisecond
	// peerTurnsPollInterval is the time between two looks for turns that are still running for peers.
	peerTurnsPollInterval = 20 * time.Millisecond
	// otherGatewayRetry is when a caller may ask another gateway, which can serve it at once.
	otherGatewayRetry = 10 * time.Millisecond
)

// Stopping reports whether callers should be told to use another connection for their next request.
func (g *Gateway) Stopping() bool { return g.shutdown.Begun() }

// Stop hands over the partitions and returns when the load balancer has taken the process out or ctx ends. Until then,
// requests are served that can be answered before ctx ends; afterwards, all further requests of callers are refused.
// While the store confirms no appends, the partitions stay here as long as the stop may last.
func (g *Gateway) Stop(ctx context.Context) {
	g.shutdown.Begin(ctx, drainTime)
	g.ready.Set(false)
	g.logEvent("stopping")
	// The store assigns partitions anew once this process has left, also those of other gateways, and the next holders count
	// open grants as spent.
	g.returnAll(ctx)
	g.leave(ctx)
	g.pokePeers(ctx)
	g.shutdown.AwaitDrained(ctx)
	g.shutdown.Close()
}

// AwaitPeerTurns waits until the turns that this process runs for callers of other gateways have ended, or ctx ends. It
// returns the tokens that callers' turns, which must have ended, left unused.
func (g *Gateway) AwaitPeerTurns(ctx context.Context) {
	g.returnAll(ctx)
	poll := time.NewTicker(peerTurnsPollInterval)
	defer poll.Stop()
	for !g.readers.none() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// stopFault returns the fault of a call that this process stops too early for. Another gateway can serve it.
func (g *Gateway) stopFault(step string) *fault.Fault {
	return g.refuse(fault.Unready, step, "the gateway stops in %v", g.shutdown.Left().Round(time.Millisecond)).
		WithRetryAfter(otherGatewayRetry)
}

// leave hands over the partitions, leaving leaveReserve of the stop.
func (g *Gateway) leave(ctx context.Context) {
	began := time.Now()
	if end, bounded := ctx.Deadline(); bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-leaveReserve))
		defer cancel()
	}
	g.owner.Leave(ctx)
	g.logEvent("left", "ms", time.Since(began).Milliseconds())
}
