package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/turns"
)

// partlyLoaded stores a chain of four turns and a single newer turn in a partition and kills the holder. It returns the
// partition at the next holder, which has loaded the account and the two newest turns. resume lets it load the rest.
func partlyLoaded(t *testing.T) (p *Partition, resume func(), stop func()) {
	t.Helper()
	is := is.New(t)
	f := newFakeStore(1)
	a, former := startHolder(t, f)
	previous := ""
	for i := range 4 {
		id := fmt.Sprint("t", i)
		is.NoErr(runTurn(t.Context(), former, id, previous))
		previous = id
		time.Sleep(time.Second)
	}
	is.NoErr(runTurn(t.Context(), former, "short", "")) // The newest chain has only one turn.
	a.stop()

	f.stallAfter, f.resume = 4, make(chan struct{})
	b := startOwner(f, address)
	time.Sleep(500 * time.Millisecond)
	p, ok := b.HeldPartition(0)
	is.True(ok) // The partition accepts turns while it loads.
	return p, func() { close(f.resume); time.Sleep(50 * time.Millisecond) }, b.stop
}

// TestTurnsRunWhileHistoryLoads checks that after a takeover new chains and loaded chains continue at once, and that
// turns whose chain is only partly loaded wait.
func TestTurnsRunWhileHistoryLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, resume, stop := partlyLoaded(t)
		defer stop()
		is.NoErr(runTurn(t.Context(), p, "new", ""))
		is.NoErr(runTurn(t.Context(), p, "next", "short"))
		_, err := p.Begin(claimOf("p"), turns.Ref{Workspace: "w", ID: "t3"}, 0, time.Now())
		is.True(errors.Is(err, ErrLoading)) // Only part of the chain is loaded.
		resume()
		is.NoErr(p.AwaitChain(t.Context(), turns.Ref{Workspace: "w", ID: "t3"}))
		chain, err := p.Chain(turns.Ref{Workspace: "w", ID: "t3"})
		is.NoErr(err)
		is.Equal(len(chain), 4)
	})
}

// TestTurnNotReportedUnknownWhileLoading checks that a turn that may not be loaded yet is not reported as unknown.
func TestTurnNotReportedUnknownWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, resume, stop := partlyLoaded(t)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.ConfirmedChain(ctx, turns.Ref{Workspace: "w", ID: "never"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!p.WasEmpty())
		resume()
		_, err = p.ConfirmedChain(t.Context(), turns.Ref{Workspace: "w", ID: "never"})
		is.True(errors.Is(err, turns.ErrUnknownTurn))
	})
}

// TestBudgetHoldsWhileHistoryLoads checks that tokens spent before a takeover still count against the budget while
// history is loading.
func TestBudgetHoldsWhileHistoryLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, resume, stop := partlyLoaded(t)
		defer stop()
		// The five turns spent 50 tokens each, and the 100 that were reserved ahead for the next one count as spent.
		admitted := 0
		for range 10 {
			if _, err := p.Begin(claimOf("p"), turns.Ref{}, 0, time.Now()); err == nil {
				admitted++
			}
		}
		resume()
		is.Equal(admitted, (1000-5*50-100)/100)
	})
}
