package owner

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

// longChain returns a chain of turns that are larger together than one append may be.
func longChain(n, size int) []turns.Turn {
	var out []turns.Turn
	previous := ""
	for i := range n {
		t := turnOf(fmt.Sprint("long", i), previous)
		t.Input = bytes.Repeat([]byte("x"), size)
		out = append(out, t)
		previous = t.ID
	}
	return out
}

// soon returns a context that ends after a time in which a working store has confirmed everything.
func soon(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestLongChainDoesNotBlockItsPartition guards against the import of a conversation above the store's limit for one append,
// which the store refuses for good: nothing of the partition was confirmed any more.
func TestLongChainDoesNotBlockItsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		f.callBytes = 2 << 20
		o, p := startHolder(t, f)
		defer func() { o.stop() }()
		chain := longChain(18, 125_000)
		ticket, err := p.ImportTurns(chain, time.Now())
		is.NoErr(err)
		is.NoErr(runTurn(soon(t), p, "other", ""))
		is.NoErr(p.Await(soon(t), ticket))
		is.Equal(f.invalidCalls, 0)

		o.stop()
		o, p = startHolder(t, f)
		got, err := p.Chain(turns.Ref{Workspace: "w", ID: chain[len(chain)-1].ID})
		is.NoErr(err)
		is.Equal(len(got), len(chain))
		is.Equal(got[0].Input, chain[0].Input)
	})
}

// TestLongChainIsVisibleAsAWhole guards against a chain of which a part is durable and that is continued after its holder
// died in the middle of the import.
func TestLongChainIsVisibleAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		f.callBytes = 2 << 20
		o, p := startHolder(t, f)
		defer func() { o.stop() }()
		chain := longChain(18, 125_000)
		last := turns.Ref{Workspace: "w", ID: chain[len(chain)-1].ID}
		f.unavailableAt = f.appends + 1
		_, err := p.ImportTurns(chain, time.Now())
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(f.appends, f.unavailableAt) // A part of the chain is durable.
		o.stop()
		f.setFaults(false, false)
		o, p = startHolder(t, f)
		_, err = p.Chain(turns.Ref{Workspace: "w", ID: chain[0].ID})
		is.NoErr(err)
		_, err = p.Chain(last)
		is.True(errors.Is(err, turns.ErrUnknownTurn))
	})
}

// TestRejectedRecordFailsAlone guards against a record that the store refuses for good and that stops all others of its
// partition, whether it is appended alone or with others.
func TestRejectedRecordFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		f.invalidKey = "poison"
		o, p := startHolder(t, f)
		defer func() { o.stop() }()
		finish := func(id string) int64 {
			b, err := p.Begin(recordedClaimOf(id), turns.Ref{Workspace: "w"}, time.Second, time.Now())
			is.NoErr(err)
			ticket, err := p.Finish(b, turnOf(id, ""), 50, time.Now())
			is.NoErr(err)
			return ticket
		}
		for round := range 3 { // All tickets of a round are appended together at first.
			good := finish(fmt.Sprint("a", round))
			bad := finish(fmt.Sprint("poison", round))
			after := finish(fmt.Sprint("b", round))
			is.NoErr(p.Await(soon(t), good))
			is.True(errors.Is(p.Await(soon(t), bad), store.ErrInvalid))
			is.NoErr(p.Await(soon(t), after))
			_, err := p.Chain(turns.Ref{Workspace: "w", ID: fmt.Sprint("poison", round)})
			is.True(errors.Is(err, turns.ErrUnknownTurn))
		}
		is.True(f.invalidCalls >= 6) // Together and alone, in each round.

		o.stop()
		f.invalidKey = ""
		o, p = startHolder(t, f)
		for _, id := range []string{"a0", "b0", "a2", "b2"} {
			_, err := p.Chain(turns.Ref{Workspace: "w", ID: id})
			is.NoErr(err)
		}
	})
}

// TestTooLargeTurnIsRefusedBeforeItIsQueued guards against queueing a record that the store can never accept.
func TestTooLargeTurnIsRefusedBeforeItIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		o, p := startHolder(t, f)
		defer func() { o.stop() }()
		_, err := p.ImportTurns(longChain(2, p.limits.RecordBytes), time.Now())
		is.True(errors.Is(err, ErrRecordTooLarge))
		_, err = p.Chain(turns.Ref{Workspace: "w", ID: "long0"})
		is.True(errors.Is(err, turns.ErrUnknownTurn))
		is.NoErr(runTurn(soon(t), p, "other", ""))
	})
}

// TestImportOfKnownTurnsWaitsForThem guards against a hand-over that counts as durable since its turns are known, while the
// batch that holds them is not confirmed yet.
func TestImportOfKnownTurnsWaitsForThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		o, p := startHolder(t, f)
		defer func() { o.stop() }()
		f.setFaults(true, false)
		first, err := p.ImportTurns([]turns.Turn{turnOf("t", "")}, time.Now())
		is.NoErr(err)
		second, err := p.ImportTurns([]turns.Turn{turnOf("t", "")}, time.Now())
		is.NoErr(err)
		is.Equal(second, first)
	})
}
