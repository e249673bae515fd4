package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/turns"
)

// adoptTimeout bounds the handing of a turn to the new holder of its partition. A caller leaves a stream that is
// silent for two seconds.
const adoptTimeout = 1800 * time.Millisecond

// handTurn gives a turn that was answered whole to the new holder of its partition.
func (g *Gate) handTurn(ctx context.Context, partition int, ts []turns.Turn) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for {
		g.owner.Look(ctx)
		address, self, ok := g.owner.AddressOf(partition)
		q := adoptRequest{Partition: partition, Turns: heldTurns(ts)}
		var err error
		switch {
		case !ok:
			err = errors.Wrapf(owner.ErrMoved, "partition %d", partition)
		case self:
			_, err = g.adopt(ctx, q)
		default:
			_, err = ask[adoptAnswer](ctx, g.peers, address, adoptPath, q)
		}
		if err == nil {
			g.note("turn_handed_over", "partition", partition, "turn", ts[len(ts)-1].ID, "peer", address)
			return nil
		}
		select {
		case <-time.After(homePause):
		case <-ctx.Done():
			return errors.Wrapf(err, "hand turn to %s", address)
		}
	}
}

// adopt keeps turns that a peer's engine answered whole.
func (g *Gate) adopt(ctx context.Context, q adoptRequest) (adoptAnswer, error) {
	p, ok := g.owner.Held(q.Partition)
	if !ok {
		return adoptAnswer{}, g.refuse(fault.Moved, "adopt", "partition %d is not held here", q.Partition)
	}
	ticket, err := p.Adopt(plainTurns(q.Turns), time.Now())
	if err != nil {
		return adoptAnswer{}, err
	}
	return adoptAnswer{}, p.Await(ctx, ticket)
}
