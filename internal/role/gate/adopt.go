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
func (g *Gateway) handOverTurn(ctx context.Context, r *turnRequest, ts []turns.Turn) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for {
		g.owner.RefreshOwners(ctx)
		address, self, ok := g.owner.AddressOf(r.Partition)
		q := adoptRequest{Partition: r.Partition, Turns: toPayloads(ts)}
		var err error
		switch {
		case !ok:
			err = errors.Wrapf(owner.ErrMoved, "partition %d", r.Partition)
		case self:
			_, err = g.adopt(ctx, q)
		default:
			err = g.sendAdopt(ctx, address, r, q)
		}
		if err == nil {
			g.logEvent("turn_handed_over", "partition", r.Partition, "turn", ts[len(ts)-1].ID, "peer", address)
			return nil
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "hand over turn to %s", address)
		}
	}
}

// sendAdopt sends the completed turn of a request to a peer, unless the peer's region must not receive it.
func (g *Gateway) sendAdopt(ctx context.Context, address string, r *turnRequest, q adoptRequest) error {
	if f := g.checkRelay(ctx, address, r); f != nil {
		return f
	}
	_, err := callPeer[adoptAnswer](ctx, g.peers, address, adoptPath, q)
	return err
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
