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

// half keeps a program of four turns in a partition, ends its holder, and returns the successor while it has read the
// account and the two newest turns. Resume lets it read on.
func half(t *testing.T) (p *Partition, resume func(), stop func()) {
	t.Helper()
	is := is.New(t)
	f := newFake(1)
	a, former := hold(t, f)
	previous := ""
	for i := range 4 {
		id := fmt.Sprint("t", i)
		is.NoErr(run(t.Context(), former, id, previous))
		previous = id
		time.Sleep(time.Second)
	}
	is.NoErr(run(t.Context(), former, "short", "")) // The newest chain, of one turn.
	a.stop()

	f.stall, f.resume = 4, make(chan struct{})
	b := begin(f, address)
	time.Sleep(500 * time.Millisecond)
	p, ok := b.Held(0)
	is.True(ok) // It takes turns before all is read.
	return p, func() { close(f.resume); time.Sleep(50 * time.Millisecond) }, b.stop
}

// TestTurnsRunBeforeAllIsRead is the pattern of a takeover of much history: what is new or recent goes on at once, and
// what may still be unread waits.
func TestTurnsRunBeforeAllIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, resume, stop := half(t)
		defer stop()
		is.NoErr(run(t.Context(), p, "new", ""))
		is.NoErr(run(t.Context(), p, "next", "short"))
		_, err := p.Begin(claimOf("p"), turns.Ref{Workspace: "w", ID: "t3"}, time.Now())
		is.True(errors.Is(err, ErrReading)) // Its chain is known in part.
		resume()
		is.NoErr(p.AwaitChain(t.Context(), turns.Ref{Workspace: "w", ID: "t3"}))
		chain, err := p.Chain(turns.Ref{Workspace: "w", ID: "t3"})
		is.NoErr(err)
		is.Equal(len(chain), 4)
	})
}

// TestNothingIsUnknownBeforeAllIsRead checks that no turn is said not to exist while it may be unread.
func TestNothingIsUnknownBeforeAllIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, resume, stop := half(t)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Certain(ctx, turns.Ref{Workspace: "w", ID: "never"})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!p.Fresh())
		resume()
		_, err = p.Certain(t.Context(), turns.Ref{Workspace: "w", ID: "never"})
		is.True(errors.Is(err, turns.ErrUnknown))
	})
}

// TestBudgetHoldsBeforeAllIsRead begins turns of a program that has spent some of its budget before the takeover.
func TestBudgetHoldsBeforeAllIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, resume, stop := half(t)
		defer stop()
		// Five turns of 50 tokens, and the 100 of the next that were reserved ahead, are spent.
		admitted := 0
		for range 10 {
			if _, err := p.Begin(claimOf("p"), turns.Ref{}, time.Now()); err == nil {
				admitted++
			}
		}
		resume()
		is.Equal(admitted, (1000-5*50-100)/100)
	})
}
