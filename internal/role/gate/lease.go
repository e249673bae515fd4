package gate

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// vouchInterval is the time between two rounds of questions while the store does not renew the lease, vouchTimeout
	// bounds a round.
	vouchInterval = 100 * time.Millisecond
	vouchTimeout  = 120 * time.Millisecond
	// vouchedFor is how long the lease lasts after a round in which all peers vouched for it. A peer that is assigned a
	// partition right after its answer allocates nothing for predecessorOverlap, which is longer.
	vouchedFor = 300 * time.Millisecond
	// vouchBefore is how long before the end of the lease the questions begin. Heartbeats usually keep more than that.
	vouchBefore = 600 * time.Millisecond
	// allocatorIdle is how long after its last grant a process keeps its lease alive.
	allocatorIdle = 5 * time.Second
	// borrowerTTL is how long a gateway that borrowed is asked to vouch.
	borrowerTTL = 15 * time.Second
)

type (
	// assignedRequest asks a peer whether any of the partitions is assigned to it.
	assignedRequest struct {
		Partitions []int `json:"partitions"`
	}
	assignedAnswer struct {
		Assigned bool `json:"assigned"`
	}
)

// keepLease extends the lease on the partitions whose rates this process allocates, while the store is away for everybody:
// as long as all peers say that none of the partitions is theirs, no other process allocates the rates.
func (g *Gateway) keepLease(ctx context.Context) error {
	tick := time.NewTicker(vouchInterval)
	defer tick.Stop()
	lost := false
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		expires := g.owner.LeaseExpires()
		partitions := g.vouchedPartitions(now)
		if len(partitions) == 0 || expires.IsZero() || expires.Sub(now) > vouchBefore {
			if lost && expires.After(now) {
				lost = false
				g.logEvent("lease_regained", "partitions", len(partitions))
			}
			continue
		}
		if err := g.askPeers(ctx, partitions); err == nil {
			g.owner.ExtendLease(now, vouchedFor)
		} else if !lost && time.Now().After(expires) {
			lost = true
			g.logEvent("lease_lost", "partitions", len(partitions), "cause", err)
		}
	}
}

// errAssignedElsewhere means that a peer holds one of the partitions.
var errAssignedElsewhere = errors.New("the partition is assigned to a peer")

// askPeers returns nil if every known peer says that none of the partitions is assigned to it, or is not running. While
// no peer is known, the seeds of the settings are asked.
func (g *Gateway) askPeers(ctx context.Context, partitions []int) error {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	peers := g.knownPeers()
	if len(peers) == 0 {
		peers = g.peerAddresses()
	}
	var eg errgroup.Group
	for _, address := range peers {
		eg.Go(func() error {
			a, err := callPeer[assignedAnswer](ctx, g.peers, address, assignPath, assignedRequest{partitions})
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				return nil
			case err == nil && a.Assigned:
				return errors.Wrapf(errAssignedElsewhere, "peer %s", address)
			}
			return err
		})
	}
	return eg.Wait()
}
