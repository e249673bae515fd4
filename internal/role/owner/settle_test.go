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

	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

// expireMembers ends all memberships, as the store does during a long outage.
func (f *fakeStore) expireMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memberOrder = nil
	f.rebalance()
}

// laggingStore is the store as a process sees it whose appends and heartbeats begin to be answered later than those of
// others.
type laggingStore struct {
	*fakeStore
	silent atomic.Bool
	// joinedAt is when the last heartbeat reached the store.
	joinedAt atomic.Pointer[time.Time]
}

func (l *laggingStore) Append(ctx context.Context, id int, fe store.Fence, records []store.Record) error {
	if l.silent.Load() {
		return errors.Wrap(store.ErrOutcomeUnknown, "silent")
	}
	return l.fakeStore.Append(ctx, id, fe, records)
}

func (l *laggingStore) Join(
	ctx context.Context, member string, generation int64, ttl time.Duration,
) (store.Assignment, error) {
	if l.silent.Load() {
		return store.Assignment{}, errors.Wrap(store.ErrOutcomeUnknown, "silent")
	}
	now := time.Now()
	l.joinedAt.Store(&now)
	return l.fakeStore.Join(ctx, member, generation, ttl)
}

// TestReturnOfTheStoreWithQueuedTurns covers the return of the store after an outage in which all memberships lapsed and
// finished turns were queued. It guards against the first member that returns being assigned all partitions and fencing
// their holders, whose queued turns then had to be sent to it one by one: the holders must append them before.
func TestReturnOfTheStoreWithQueuedTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(4)
		lagging := &laggingStore{fakeStore: f}
		a, b := startOwnerOf(lagging, f.partitionCount, address), startOwner(f, "127.0.0.1:8")
		defer a.stop()
		defer b.stop()
		time.Sleep(time.Second)

		var begun []AdmittedTurn
		held := append(a.HeldPartitions(), b.HeldPartitions()...)
		is.Equal(len(held), 4)
		for _, p := range held {
			begun = append(begun, beginCovered(t, p))
		}
		f.setFaults(true, false)
		f.expireMembers()
		tickets := make([]int64, len(held))
		for i, p := range held {
			ticket, err := p.Finish(begun[i], turnOf(fmt.Sprint("t", i), ""), 50, time.Now())
			is.NoErr(err)
			tickets[i] = ticket
		}
		lagging.silent.Store(true)
		time.Sleep(4300 * time.Millisecond)
		f.setFaults(false, false)
		time.Sleep(settleTime / 2)
		lagging.silent.Store(false)

		ctx, cancel := context.WithTimeout(t.Context(), settleTime)
		defer cancel()
		for i, p := range held {
			is.NoErr(p.Await(ctx, tickets[i])) // Not ErrMoved: no other process fenced the partition before.
		}
		time.Sleep(time.Second)
		is.Equal(len(a.HeldPartitions())+len(b.HeldPartitions()), 4)
		for i, p := range held {
			o := a
			if _, ok := a.HeldPartition(p.ID()); !ok {
				o = b
			}
			now, ok := o.HeldPartition(p.ID())
			is.True(ok)
			_, err := now.Chain(turns.Ref{Workspace: "w", ID: fmt.Sprint("t", i)})
			is.NoErr(err)
		}
	})
}

// TestOutageWithProgramsUnderWay covers turns that arrive while the store is away. It guards against refusing those that
// its return would still serve, and against holding those whose callers have less time than the outage has lasted.
func TestOutageWithProgramsUnderWay(t *testing.T) {
	tests := []struct {
		name          string
		age, patience time.Duration
		admitted      bool
	}{
		{"a short outage", 300 * time.Millisecond, 0, true},
		{"the caller can wait as long again", 2 * time.Second, 3 * time.Second, true},
		{"the caller cannot", 2 * time.Second, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeStore(1)
				a, p := startHolder(t, f)
				defer a.stop()
				first := beginCovered(t, p)
				f.setFaults(true, false)
				_, err := p.Finish(first, turnOf("t1", ""), 50, time.Now())
				is.NoErr(err)
				time.Sleep(tt.age)
				b, err := p.Begin(recordedClaimOf("q"), turns.Ref{}, tt.patience, time.Now())
				is.Equal(err == nil, tt.admitted)
				is.Equal(errors.Is(err, ErrStoreUnavailable), !tt.admitted)
				f.setFaults(false, false)
				if tt.admitted {
					is.NoErr(p.Await(t.Context(), b.Ticket))
				}
			})
		})
	}
}
