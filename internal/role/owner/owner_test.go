package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/turns"
)

const address = "127.0.0.1:7"

// process is one owner under test; stop ends it as a kill does.
type process struct {
	*Owner
	stop func()
}

func begin(f *fake, address string, opts ...Option) *process {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(ctx)
	o := New(g, f, f.partitions, address, opts...)
	g.Go(o.Run)
	return &process{Owner: o, stop: func() {
		cancel()
		_ = g.Wait()
	}}
}

// hold begins an owner of the only partition and returns both once it takes turns.
func hold(t *testing.T, f *fake) (*process, *Partition) {
	t.Helper()
	o := begin(f, address)
	time.Sleep(time.Second)
	p, ok := o.Held(0)
	is.New(t).True(ok)
	return o, p
}

func claimOf(id string) turns.Claim {
	return turns.Claim{Program: turns.Ref{Workspace: "w", ID: id}, Budget: 1000, Most: 100, Keep: time.Minute}
}

func turnOf(id, previous string) turns.Turn {
	return turns.Turn{
		Ref: turns.Ref{Workspace: "w", ID: id}, Program: "p", Previous: previous, Input: []byte(id), Output: []byte("out\n"),
		Until: time.Now().Add(time.Minute).UnixMilli(),
	}
}

// beginCovered begins a turn whose tokens are covered by a confirmed record.
func beginCovered(t *testing.T, p *Partition) Begun {
	t.Helper()
	is := is.New(t)
	b, err := p.Begin(claimOf("p"), turns.Ref{}, time.Now())
	is.NoErr(err)
	is.NoErr(p.Await(t.Context(), b.Ticket))
	return b
}

// run begins and finishes one turn and waits until it is durable.
func run(ctx context.Context, p *Partition, id, previous string) error {
	b, err := p.Begin(claimOf("p"), turns.Ref{Workspace: "w", ID: previous}, time.Now())
	if err != nil {
		return err
	}
	if err := p.Await(ctx, b.Ticket); err != nil {
		return err
	}
	ticket, err := p.Finish(b, turnOf(id, previous), 50, time.Now())
	if err != nil {
		return err
	}
	return p.Await(ctx, ticket)
}

func TestHistorySurvivesAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(1)
		a, p := hold(t, f)
		is.True(p.Fresh())
		previous := ""
		for i := range 5 {
			id := fmt.Sprint("t", i)
			is.NoErr(run(t.Context(), p, id, previous))
			previous = id
		}
		a.stop()

		b, p := hold(t, f) // Evicts its former self at the same address.
		is.True(!p.Fresh())
		chain, err := p.Chain(turns.Ref{Workspace: "w", ID: previous})
		is.NoErr(err)
		is.Equal(len(chain), 5)
		b.stop()
	})
}

// TestFormerHolderIsFenced freezes a holder while another takes over; what the first then finishes is not confirmed.
func TestFormerHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(1)
		a, old := hold(t, f)
		begun, err := old.Begin(claimOf("p"), turns.Ref{}, time.Now())
		is.NoErr(err)

		b := New(a.group, f, 1, "127.0.0.1:8")
		next := newPartition(0, 99, f, &b.pace, b.note)
		is.NoErr(next.fence(t.Context()))
		next.read(t.Context(), func() {})

		ticket, err := old.Finish(begun, turnOf("late", ""), 50, time.Now())
		is.NoErr(err)
		is.True(errors.Is(old.Await(t.Context(), ticket), ErrMoved))
		_, err = next.Chain(turns.Ref{Workspace: "w", ID: "late"})
		is.True(errors.Is(err, turns.ErrUnknown))
		_, err = old.Certain(t.Context(), turns.Ref{Workspace: "w", ID: "never"})
		is.True(errors.Is(err, ErrMoved)) // A former holder cannot say that a turn does not exist.
		a.stop()
	})
}

// TestOutageOfTheStore is the pattern of the days on which the store is down: ends of turns wait, new turns are refused
// at once after a moment, and all goes on when the store is back.
func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(1)
		a, p := hold(t, f)
		begun := beginCovered(t, p)
		f.set(true, false)
		ticket, err := p.Finish(begun, turnOf("t1", ""), 50, time.Now())
		is.NoErr(err)
		short, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(errors.Is(p.Await(short, ticket), context.DeadlineExceeded))
		_, err = p.Begin(claimOf("q"), turns.Ref{}, time.Now())
		is.True(errors.Is(err, ErrDetached))

		f.set(false, false)
		is.NoErr(p.Await(t.Context(), ticket))
		is.NoErr(run(t.Context(), p, "t2", "t1"))
		a.stop()
	})
}

// TestLostAnswers loses the answers of appends that took effect; each must take effect once.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(1)
		a, p := hold(t, f)
		begun := beginCovered(t, p)
		before := f.appends
		f.set(false, true)
		ticket, err := p.Finish(begun, turnOf("t1", ""), 50, time.Now())
		is.NoErr(err)
		time.Sleep(300 * time.Millisecond)
		f.set(false, false)
		is.NoErr(p.Await(t.Context(), ticket))
		is.Equal(f.appends, before+1)
		a.stop()
	})
}

// TestStopHandsPartitionsOver ends one of two owners gracefully; the other holds its partitions within moments.
func TestStopHandsPartitionsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(4)
		a, b := begin(f, address), begin(f, "127.0.0.1:8")
		time.Sleep(time.Second)
		is.Equal(len(a.AllHeld()), 2)
		is.Equal(len(b.AllHeld()), 2)
		p := a.AllHeld()[0]
		is.NoErr(run(t.Context(), p, "t1", ""))
		a.Leave(t.Context())
		b.Poke()
		time.Sleep(200 * time.Millisecond)
		is.Equal(len(a.AllHeld()), 0)
		is.Equal(len(b.AllHeld()), 4)
		taken, ok := b.Held(p.ID())
		is.True(ok)
		_, err := taken.Chain(turns.Ref{Workspace: "w", ID: "t1"})
		is.NoErr(err)
		a.stop()
		b.stop()
	})
}

// TestExpelledMemberComesBack expels a living process; it joins again and appends under a higher epoch.
// TestLeavingIsNotUndoneByAHeartbeat guards against rule LOST broken by partitions that are given to a process which has
// left: a heartbeat that was under way reached the store behind the end of the membership and began a new one.
func TestLeavingIsNotUndoneByAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(4)
		a, b := begin(f, address), begin(f, "127.0.0.1:8")
		time.Sleep(time.Second)
		f.mu.Lock()
		f.joinDelay = 50 * time.Millisecond
		f.mu.Unlock()
		a.Poke()
		time.Sleep(10 * time.Millisecond)
		a.Leave(t.Context())
		time.Sleep(time.Second)
		is.Equal(len(b.AllHeld()), 4)
		a.stop()
		b.stop()
	})
}

func TestExpelledMemberComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(2)
		a, b := begin(f, address), begin(f, "127.0.0.1:8")
		time.Sleep(time.Second)
		b.Look(t.Context())
		b.Expel(t.Context(), address)
		time.Sleep(2 * time.Second)
		is.Equal(len(a.AllHeld())+len(b.AllHeld()), 2)
		// A partition that went away and came back between two heartbeats is known by its first append to be stale.
		for _, p := range append(a.AllHeld(), b.AllHeld()...) {
			err := run(t.Context(), p, fmt.Sprint("t", p.ID()), "")
			is.True(err == nil || errors.Is(err, ErrMoved))
		}
		time.Sleep(time.Second)
		is.Equal(len(a.AllHeld())+len(b.AllHeld()), 2)
		for _, p := range append(a.AllHeld(), b.AllHeld()...) {
			is.NoErr(run(t.Context(), p, fmt.Sprint("u", p.ID()), ""))
		}
		a.stop()
		b.stop()
	})
}

// TestCutProcessGivesItsPartitionsUp is the pattern of days on which some machines are cut off from the store: calls
// through peers are slow, so others hold the partitions until the machine reaches the store again.
func TestCutProcessGivesItsPartitionsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(4)
		var cut atomic.Bool
		a := begin(f, address, WithCut(cut.Load))
		defer a.stop()
		b := begin(f, "127.0.0.1:8")
		defer b.stop()
		time.Sleep(time.Second)
		is.Equal(len(a.AllHeld()), 2)

		cut.Store(true)
		time.Sleep(time.Second)
		is.Equal(len(a.AllHeld()), 0)
		is.Equal(len(b.AllHeld()), 4)
		holder, self, ok := a.AddressOf(0)
		is.True(ok && !self)
		is.Equal(holder, "127.0.0.1:8") // It still knows where to send turns.
		is.True(a.Located())            // It stays ready.

		cut.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(a.AllHeld()), 2)
	})
}

// TestCoverOfAnEndingTurnMustBeDurable lets a sub-agent begin on the tokens that the end of another turn reserved ahead,
// while the record of that end is on its way.
func TestCoverOfAnEndingTurnMustBeDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(1)
		a, p := hold(t, f)
		defer a.stop()
		first := beginCovered(t, p)
		f.set(true, false)
		_, err := p.Finish(first, turnOf("a", ""), 50, time.Now())
		is.NoErr(err)
		second, err := p.Begin(claimOf("p"), turns.Ref{}, time.Now())
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(errors.Is(p.Await(ctx, second.Ticket), context.DeadlineExceeded))
		f.set(false, false)
		is.NoErr(p.Await(t.Context(), second.Ticket))
	})
}

// TestReopenedPartitionKeepsItsTurns guards against rule LOST broken by a partition that is opened twice in one generation of
// the group: its appends began again at the first number, and the store took them for repeats of earlier ones.
func TestReopenedPartitionKeepsItsTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(1)
		var cut atomic.Bool
		a := begin(f, address, WithCut(cut.Load))
		time.Sleep(time.Second)
		p, ok := a.Held(0)
		is.True(ok)
		is.NoErr(run(t.Context(), p, "t1", ""))

		f.mu.Lock()
		f.stuck = true
		f.mu.Unlock()
		cut.Store(true)
		time.Sleep(time.Second)
		is.Equal(len(a.AllHeld()), 0)
		cut.Store(false)
		time.Sleep(time.Second)
		p, ok = a.Held(0)
		is.True(ok)
		is.NoErr(run(t.Context(), p, "t2", "t1"))
		a.stop()
		b := begin(f, "127.0.0.1:8")
		defer b.stop()
		f.mu.Lock()
		f.stuck = false
		f.mu.Unlock()
		is.NoErr(f.Leave(t.Context(), a.member))
		time.Sleep(time.Second)
		p, ok = b.Held(0)
		is.True(ok)
		_, err := p.Chain(turns.Ref{Workspace: "w", ID: "t2"})
		is.NoErr(err)
	})
}
