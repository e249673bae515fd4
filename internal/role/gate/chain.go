package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/turns"
)

// importChain finds a chain that begins in another program's partition and copies it into p. Only if every partition
// is sure not to hold the turn does it not exist.
func (g *Gate) importChain(ctx context.Context, p *owner.Partition, ref turns.Ref) *fault.Fault {
	ctx, cancel := context.WithTimeout(ctx, chainTimeout)
	defer cancel()
	answers := g.askChain(ctx, chainRequest{Workspace: ref.Workspace, Turn: ref.ID})
	searched := make(map[int]bool)
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

// askChain searches here and at all peers at once.
func (g *Gate) askChain(ctx context.Context, q chainRequest) []chainAnswer {
	var mu sync.Mutex
	var out []chainAnswer
	var eg errgroup.Group
	search := func(address string, f func() (chainAnswer, error)) {
		eg.Go(func() error {
			a, err := f()
			if err != nil {
				g.note("chain_unsearched", "turn", q.Turn, "peer", address, "cause", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
			return nil
		})
	}
	search(g.settings.ListenPeers, func() (chainAnswer, error) { return g.findChain(ctx, q) })
	for _, address := range g.owner.Peers() {
		search(address, func() (chainAnswer, error) { return ask[chainAnswer](ctx, g.peers, address, chainPath, q) })
	}
	_ = eg.Wait() // No search returns an error.
	return out
}

func (g *Gate) importTurns(ctx context.Context, p *owner.Partition, ts []turns.Turn) *fault.Fault {
	ticket, err := p.Adopt(ts, time.Now())
	if err == nil {
		err = p.Await(ctx, ticket)
	}
	if err != nil {
		return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(retrySoon)
	}
	g.note("chain_imported", "turns", len(ts), "turn", ts[len(ts)-1].ID)
	return nil
}

// findChain searches the partitions that are held here.
func (g *Gate) findChain(ctx context.Context, q chainRequest) (chainAnswer, error) {
	var mu sync.Mutex
	var out chainAnswer
	var eg errgroup.Group
	for _, p := range g.owner.AllHeld() {
		eg.Go(func() error {
			chain, err := p.Certain(ctx, turns.Ref{Workspace: q.Workspace, ID: q.Turn})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				out.Turns = heldTurns(chain)
			case errors.Is(err, turns.ErrUnknown):
				out.Partitions = append(out.Partitions, p.ID())
			default:
				g.note("chain_uncertain", "turn", q.Turn, "partition", p.ID(), "cause", err)
			}
			return nil
		})
	}
	return out, eg.Wait()
}
