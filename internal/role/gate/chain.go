package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/turns"
)

// importChain finds a chain that begins in another program's partition and copies it into p. Only if every partition
// is sure not to hold the turn does it not exist.
func (g *Gate) importChain(ctx context.Context, p *owner.Partition, ref turns.Ref) *fault.Fault {
	ctx, cancel := context.WithTimeout(ctx, chainTimeout)
	defer cancel()
	q := chainRequest{Workspace: ref.Workspace, Turn: ref.ID}
	searched := make(map[int]bool)
	answers := make([]chainAnswer, 0, 1)
	if a, err := g.findChain(ctx, q); err == nil {
		answers = append(answers, a)
	}
	for _, address := range g.owner.Peers() {
		a, err := ask[chainAnswer](ctx, g.peers, address, chainPath, q)
		if err != nil {
			g.note("chain_unsearched", "turn", ref.ID, "peer", address, "cause", err)
			continue
		}
		answers = append(answers, a)
	}
	for _, a := range answers {
		if len(a.Turns) > 0 {
			return g.importTurns(ctx, p, plainTurns(a.Turns))
		}
		for _, id := range a.Partitions {
			searched[id] = true
		}
	}
	if len(searched) == int(g.settings.Partitions) {
		return g.refuse(fault.UnknownProgram, "history", "turn %q does not exist in workspace %q", ref.ID, ref.Workspace)
	}
	return g.refuse(fault.Unready, "history", "turn %q was not found, %d of %d partitions are certain", ref.ID,
		len(searched), g.settings.Partitions).WithRetryAfter(retrySoon)
}

func (g *Gate) importTurns(ctx context.Context, p *owner.Partition, ts []turns.Turn) *fault.Fault {
	ticket, err := p.Adopt(ts, time.Now())
	if err == nil {
		err = p.Await(ctx, ticket)
	}
	if err != nil && !errors.Is(err, owner.ErrDetached) {
		return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(retrySoon)
	}
	g.note("chain_imported", "turns", len(ts), "turn", ts[len(ts)-1].ID)
	return nil
}

// findChain searches the partitions that are held here.
func (g *Gate) findChain(_ context.Context, q chainRequest) (chainAnswer, error) {
	var out chainAnswer
	for _, p := range g.owner.AllHeld() {
		chain, complete, err := p.Chain(turns.Ref{Workspace: q.Workspace, ID: q.Turn})
		if err == nil {
			return chainAnswer{Turns: heldTurns(chain)}, nil
		}
		if errors.Is(err, turns.ErrUnknown) && complete {
			out.Partitions = append(out.Partitions, p.ID())
		}
	}
	return out, nil
}
