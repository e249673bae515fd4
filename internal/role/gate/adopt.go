package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/turns"
)

// adoptTimeout bounds the handover of a turn to the new owner of its partition. It is below two seconds because callers
// abandon a stream that is silent for that long.
const adoptTimeout = 1800 * time.Millisecond

// handOverTurn sends a turn whose answer is complete to the new owner of its partition, retrying until adoptTimeout.
func (g *Gateway) handOverTurn(ctx context.Context, partition int, ts []turns.Turn) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for {
		g.owner.RefreshOwners(ctx)
		address, self, ok := g.owner.AddressOf(partition)
		q := adoptRequest{Partition: partition, Turns: toPayloads(ts)}
		var err error
		switch {
		case !ok:
			err = errors.Wrapf(owner.ErrMoved, "partition %d", partition)
		case self:
			_, err = g.adopt(ctx, q)
		default:
			_, err = callPeer[adoptAnswer](ctx, g.peers, address, adoptPath, q)
		}
		if err == nil {
			g.logEvent("turn_handed_over", "partition", partition, "turn", ts[len(ts)-1].ID, "peer", address)
			return nil
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "hand over turn to %s", address)
		}
	}
}

// adopt stores turns that completed at a peer after this process took over their partition.
func (g *Gateway) adopt(ctx context.Context, q adoptRequest) (adoptAnswer, error) {
	p, ok := g.owner.HeldPartition(q.Partition)
	if !ok {
		return adoptAnswer{}, g.refuse(
			fault.ProgramMoved, "adopt", "partition %d is not owned by this process", q.Partition)
	}
	ticket, err := p.ImportTurns(fromPayloads(q.Turns), time.Now())
	if err != nil {
		return adoptAnswer{}, err
	}
	return adoptAnswer{}, p.Await(ctx, ticket)
}
