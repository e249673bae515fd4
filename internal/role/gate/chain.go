package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

// importChain searches the other partitions for a chain of turns and copies it into p, for a program that continues
// another program's turn. It reports the turn as unknown only if every partition has confirmed that it does not hold
// the turn.
func (g *Gateway) importChain(ctx context.Context, p *owner.Partition, ref turns.Ref) *fault.Fault {
	ctx, cancel := context.WithTimeout(ctx, chainTimeout)
	defer cancel()
	answers := g.searchChain(ctx, chainRequest{Workspace: ref.Workspace, Turn: ref.ID})
	searched := make(map[int]bool)
	for _, a := range answers {
		if len(a.Turns) > 0 {
			return g.importTurns(ctx, p, fromPayloads(a.Turns))
		}
		for _, id := range a.Partitions {
			searched[id] = true
		}
	}
	if len(searched) == int(g.settings.Partitions) {
		return g.refuse(fault.UnknownProgram, "history", "turn %q does not exist in workspace %q", ref.ID, ref.Workspace)
	}
	return g.refuse(fault.Unready, "history", "turn %q was not found; %d of %d partitions could be searched", ref.ID,
		len(searched), g.settings.Partitions).WithRetryAfter(shortRetry)
}

// searchChain queries this process and all peers concurrently.
func (g *Gateway) searchChain(ctx context.Context, q chainRequest) []chainAnswer {
	var mu sync.Mutex
	var out []chainAnswer
	var eg errgroup.Group
	search := func(address string, f func() (chainAnswer, error)) {
		eg.Go(func() error {
			a, err := f()
			if err != nil {
				g.logEvent("chain_unsearched", "turn", q.Turn, "peer", address, "cause", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
			return nil
		})
	}
	search(g.settings.PeerAddress(), func() (chainAnswer, error) { return g.findLocalChain(ctx, q) })
	for _, address := range g.owner.Peers() {
		search(address, func() (chainAnswer, error) { return callPeer[chainAnswer](ctx, g.peers, address, chainPath, q) })
	}
	_ = eg.Wait() // The functions never return an error.
	return out
}

func (g *Gateway) importTurns(ctx context.Context, p *owner.Partition, ts []turns.Turn) *fault.Fault {
	ticket, err := p.ImportTurns(ts, time.Now())
	if err == nil {
		err = p.Await(ctx, ticket)
	}
	if errors.Is(err, owner.ErrRecordTooLarge) || errors.Is(err, store.ErrInvalid) {
		return g.refuse(fault.BodyTooLarge, "history", "the store cannot hold the turns before this one: %v", err)
	}
	if err != nil {
		return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(shortRetry)
	}
	g.logEvent("chain_imported", "turns", len(ts), "turn", ts[len(ts)-1].ID)
	return nil
}

// findLocalChain searches the partitions that this process owns.
func (g *Gateway) findLocalChain(ctx context.Context, q chainRequest) (chainAnswer, error) {
	var mu sync.Mutex
	var out chainAnswer
	var eg errgroup.Group
	for _, p := range g.owner.HeldPartitions() {
		eg.Go(func() error {
			chain, err := p.ConfirmedChain(ctx, turns.Ref{Workspace: q.Workspace, ID: q.Turn})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				out.Turns = toPayloads(chain)
			case errors.Is(err, turns.ErrUnknownTurn):
				out.Partitions = append(out.Partitions, p.ID())
			default:
				g.logEvent("chain_uncertain", "turn", q.Turn, "partition", p.ID(), "cause", err)
			}
			return nil
		})
	}
	return out, eg.Wait()
}
