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

// runningOwner is an Owner under test. stop ends it without leaving the group, like a killed process.
type runningOwner struct {
	*Owner
	stop func()
}

func startOwner(f *fakeStore, address string, opts ...Option) *runningOwner {
	return startOwnerOf(f, f.partitionCount, address, opts...)
}

func startOwnerOf(s Store, partitions int, address string, opts ...Option) *runningOwner {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(ctx)
	o := New(g, s, partitions, address, opts...)
	g.Go(o.Run)
	return &runningOwner{Owner: o, stop: func() {
		cancel()
		_ = g.Wait()
	}}
}

// startHolder starts an owner of the only partition and returns both once the partition accepts turns.
func startHolder(t *testing.T, f *fakeStore) (*runningOwner, *Partition) {
	t.Helper()
	o := startOwner(f, address)
	time.Sleep(time.Second)
	p, ok := o.HeldPartition(0)
	is.New(t).True(ok)
	return o, p
}

func claimOf(id string) turns.Claim {
	return turns.Claim{Program: turns.Ref{Workspace: "w", ID: id}, Budget: 1000, MaxTokens: 100, AccountTTL: time.Minute}
}

// recordedClaimOf returns the claim of a turn whose history is kept, so that it cannot end without the store.
func recordedClaimOf(id string) turns.Claim {
	c := claimOf(id)
	c.Recorded = true
	return c
}

func turnOf(id, previous string) turns.Turn {
	return turns.Turn{
		Ref: turns.Ref{Workspace: "w", ID: id}, Program: "p", Previous: previous, Input: []byte(id), Output: []byte("out\n"),
		ExpiresAt: time.Now().Add(time.Minute).UnixMilli(),
	}
}

// beginCovered begins a turn whose tokens are covered by a confirmed record.
func beginCovered(t *testing.T, p *Partition) AdmittedTurn {
	t.Helper()
	is := is.New(t)
	b, err := p.Begin(claimOf("p"), turns.Ref{}, 0, time.Now())
	is.NoErr(err)
	p.mu.Lock()
	recorded := p.programTickets[b.Claim.Program]
	p.mu.Unlock()
	is.NoErr(p.Await(t.Context(), recorded))
	return b
}

// runTurn begins and finishes a turn and waits until it is durable.
func runTurn(ctx context.Context, p *Partition, id, previous string) error {
	b, err := p.Begin(claimOf("p"), turns.Ref{Workspace: "w", ID: previous}, 0, time.Now())
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

func TestHistorySurvivesKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		a, p := startHolder(t, f)
		is.True(p.WasEmpty())
		previous := ""
		for i := range 5 {
			id := fmt.Sprint("t", i)
			is.NoErr(runTurn(t.Context(), p, id, previous))
			previous = id
		}
		a.stop()

		b, p := startHolder(t, f) // Ends the membership of the earlier process at the same address.
		is.True(!p.WasEmpty())
		chain, err := p.Chain(turns.Ref{Workspace: "w", ID: previous})
		is.NoErr(err)
		is.Equal(len(chain), 5)
		b.stop()
	})
}

// TestFormerHolderIsFenced checks that a turn which the previous holder finishes after a takeover is not confirmed.
func TestFormerHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		a, old := startHolder(t, f)
		begun, err := old.Begin(claimOf("p"), turns.Ref{}, 0, time.Now())
		is.NoErr(err)

		b := New(a.group, f, 1, "127.0.0.1:8")
		next := newPartition(0, b.nextEpoch(0, 99), f, &b.timeouts, b.limits, b.logEvent)
		is.NoErr(next.fence(t.Context()))
		next.load(t.Context(), func() {})

		ticket, err := old.Finish(begun, turnOf("late", ""), 50, time.Now())
		is.NoErr(err)
		is.True(errors.Is(old.Await(t.Context(), ticket), ErrMoved))
		_, err = next.Chain(turns.Ref{Workspace: "w", ID: "late"})
		is.True(errors.Is(err, turns.ErrUnknownTurn))
		_, err = old.ConfirmedChain(t.Context(), turns.Ref{Workspace: "w", ID: "never"})
		is.True(errors.Is(err, ErrMoved)) // A previous holder must not report that a turn does not exist.
		a.stop()
	})
}

// TestStoreOutage checks that while the store is unavailable finished turns wait for confirmation and new turns are
// rejected at once, and that both succeed when the store is back.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		a, p := startHolder(t, f)
		begun := beginCovered(t, p)
		f.setFaults(true, false)
		ticket, err := p.Finish(begun, turnOf("t1", ""), 50, time.Now())
		is.NoErr(err)
		short, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(errors.Is(p.Await(short, ticket), context.DeadlineExceeded))
		_, err = p.Begin(recordedClaimOf("q"), turns.Ref{}, 0, time.Now())
		is.True(errors.Is(err, ErrStoreUnavailable))

		f.setFaults(false, false)
		is.NoErr(p.Await(t.Context(), ticket))
		is.NoErr(runTurn(t.Context(), p, "t2", "t1"))
		a.stop()
	})
}

// TestAppendWithLostAnswerTakesEffectOnce guards against an append that is applied twice because it was retried after
// its answer was lost.
func TestAppendWithLostAnswerTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		a, p := startHolder(t, f)
		begun := beginCovered(t, p)
		before := f.appends
		f.setFaults(false, true)
		ticket, err := p.Finish(begun, turnOf("t1", ""), 50, time.Now())
		is.NoErr(err)
		time.Sleep(300 * time.Millisecond)
		f.setFaults(false, false)
		is.NoErr(p.Await(t.Context(), ticket))
		is.Equal(f.appends, before+1)
		a.stop()
	})
}

// TestLeaveHandsOverPartitions checks that the partitions of an owner that leaves are held by the other owner within
// 200 ms, with their turns.
func TestLeaveHandsOverPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(4)
		a, b := startOwner(f, address), startOwner(f, "127.0.0.1:8")
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions()), 2)
		is.Equal(len(b.HeldPartitions()), 2)
		p := a.HeldPartitions()[0]
		is.NoErr(runTurn(t.Context(), p, "t1", ""))
		a.Leave(t.Context())
		b.HeartbeatNow()
		time.Sleep(200 * time.Millisecond)
		is.Equal(len(a.HeldPartitions()), 0)
		is.Equal(len(b.HeldPartitions()), 4)
		taken, ok := b.HeldPartition(p.ID())
		is.True(ok)
		_, err := taken.Chain(turns.Ref{Workspace: "w", ID: "t1"})
		is.NoErr(err)
		a.stop()
		b.stop()
	})
}

// TestHeartbeatDoesNotUndoLeave guards against partitions being assigned to a process that has left, which breaks rule
// LOST, that a turn whose answer was confirmed is never lost. A heartbeat in flight reached the store after Leave and
// started a new membership.
func TestHeartbeatDoesNotUndoLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(4)
		a, b := startOwner(f, address), startOwner(f, "127.0.0.1:8")
		time.Sleep(time.Second)
		f.mu.Lock()
		f.joinDelay = 50 * time.Millisecond
		f.mu.Unlock()
		a.HeartbeatNow()
		time.Sleep(10 * time.Millisecond)
		a.Leave(t.Context())
		time.Sleep(time.Second)
		is.Equal(len(b.HeldPartitions()), 4)
		a.stop()
		b.stop()
	})
}

// TestExpelledMemberRejoins checks that a running process that was expelled joins again and appends at a higher epoch.
func TestExpelledMemberRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(2)
		a, b := startOwner(f, address), startOwner(f, "127.0.0.1:8")
		time.Sleep(time.Second)
		b.RefreshOwners(t.Context())
		b.Expel(t.Context(), address)
		time.Sleep(2 * time.Second)
		is.Equal(len(a.HeldPartitions())+len(b.HeldPartitions()), 2)
		// An owner does not see that a partition was reassigned and returned between two heartbeats. The first append
		// is fenced and shows that the partition is stale.
		for _, p := range append(a.HeldPartitions(), b.HeldPartitions()...) {
			err := runTurn(t.Context(), p, fmt.Sprint("t", p.ID()), "")
			is.True(err == nil || errors.Is(err, ErrMoved))
		}
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions())+len(b.HeldPartitions()), 2)
		for _, p := range append(a.HeldPartitions(), b.HeldPartitions()...) {
			is.NoErr(runTurn(t.Context(), p, fmt.Sprint("u", p.ID()), ""))
		}
		a.stop()
		b.stop()
	})
}

// TestIsolatedProcessReleasesPartitions checks that a process that is isolated from the store releases its partitions
// until it reaches the store again: calls to the store through peers are slow, so other processes should hold the
// partitions.
func TestIsolatedProcessReleasesPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(4)
		var isolated atomic.Bool
		a := startOwner(f, address, WithIsolationCheck(isolated.Load))
		defer a.stop()
		b := startOwner(f, "127.0.0.1:8")
		defer b.stop()
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions()), 2)

		isolated.Store(true)
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions()), 0)
		is.Equal(len(b.HeldPartitions()), 4)
		holder, self, ok := a.AddressOf(0)
		is.True(ok && !self)
		is.Equal(holder, "127.0.0.1:8") // It still knows where to forward turns.
		is.True(a.CanRoute())           // It stays ready.

		isolated.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions()), 2)
	})
}

// TestReservationMustBeDurableBeforeUse begins turns on tokens that another turn reserved ahead when it finished, while
// the record of that reservation is still unconfirmed. One turn may go beyond the confirmed records; the next must wait.
func TestReservationMustBeDurableBeforeUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		a, p := startHolder(t, f)
		defer a.stop()
		first := beginCovered(t, p)
		f.setFaults(true, false)
		_, err := p.Finish(first, turnOf("a", ""), 100, time.Now())
		is.NoErr(err)
		var later []AdmittedTurn
		for range 3 { // The first is covered by both records.
			b, err := p.Begin(claimOf("p"), turns.Ref{}, 0, time.Now())
			is.NoErr(err)
			later = append(later, b)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.NoErr(p.Await(ctx, later[1].Ticket))
		is.True(errors.Is(p.Await(ctx, later[2].Ticket), context.DeadlineExceeded))
		f.setFaults(false, false)
		is.NoErr(p.Await(t.Context(), later[2].Ticket))
	})
}

// TestReopenedPartitionKeepsItsTurns guards against breaking rule LOST, that a turn whose answer was confirmed is never
// lost, when a partition is opened twice in one generation of the group: its appends restart at the first sequence
// number, and the store takes them for repeats of earlier ones.
func TestReopenedPartitionKeepsItsTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		var isolated atomic.Bool
		a := startOwner(f, address, WithIsolationCheck(isolated.Load))
		time.Sleep(time.Second)
		p, ok := a.HeldPartition(0)
		is.True(ok)
		is.NoErr(runTurn(t.Context(), p, "t1", ""))

		f.mu.Lock()
		f.refuseLeave = true
		f.mu.Unlock()
		isolated.Store(true)
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions()), 0)
		isolated.Store(false)
		time.Sleep(time.Second)
		p, ok = a.HeldPartition(0)
		is.True(ok)
		is.NoErr(runTurn(t.Context(), p, "t2", "t1"))
		a.stop()
		b := startOwner(f, "127.0.0.1:8")
		defer b.stop()
		f.mu.Lock()
		f.refuseLeave = false
		f.mu.Unlock()
		is.NoErr(f.Leave(t.Context(), a.member))
		time.Sleep(time.Second)
		p, ok = b.HeldPartition(0)
		is.True(ok)
		_, err := p.Chain(turns.Ref{Workspace: "w", ID: "t2"})
		is.NoErr(err)
	})
}
