package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/turns"
)

// TestRollingStopWhileAppendsFail covers a graceful stop while the store takes no appends. It guards against partitions
// that are given up then: no other process can open them, so their turns are interrupted and new ones find no holder.
func TestRollingStopWhileAppendsFail(t *testing.T) {
	tests := []struct {
		name string
		// outage is how long the store answers nothing, sinceOutage how long it has not when the stop begins, limit how
		// long the stop may wait.
		outage, sinceOutage, limit time.Duration
		turnEndsHere               bool
	}{
		{"the store returns", time.Second, 200 * time.Millisecond, 5 * time.Second, true},
		{"the stop and the outage begin together", time.Second, 0, 5 * time.Second, true},
		{"the stop may not last as long", 5 * time.Second, 200 * time.Millisecond, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeStore(1)
				a, p := startHolder(t, f)
				defer a.stop()
				begun := beginCovered(t, p)
				f.setFaults(true, false)
				f.setRefuseLeave(true)
				time.AfterFunc(tt.outage, func() {
					f.setFaults(false, false)
					f.setRefuseLeave(false)
				})
				time.Sleep(tt.sinceOutage / 2)
				ticket, err := p.Finish(begun, turnOf("t1", ""), 50, time.Now())
				is.NoErr(err)
				time.Sleep(tt.sinceOutage / 2)
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), tt.limit)
				defer cancel()
				a.Leave(ctx)
				is.True(time.Since(began) <= min(tt.outage, tt.limit)+time.Second)
				is.Equal(p.Await(t.Context(), ticket) == nil, tt.turnEndsHere)
				is.Equal(len(a.HeldPartitions()), 0)
			})
		})
	}
}

// TestReassignmentWhileAppendsFail covers a partition that the store assigns to a new member while it takes no appends to
// it. It guards against a holder that gives up what nobody else can open.
func TestReassignmentWhileAppendsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(2)
		a := startOwner(f, address)
		defer a.stop()
		time.Sleep(time.Second)
		f.setFailingPartitions(0, 1)
		var tickets []int64
		held := a.HeldPartitions()
		is.Equal(len(held), 2)
		for _, p := range held {
			b, err := p.Begin(claimOf("p"), turns.Ref{}, 0, time.Now())
			is.NoErr(err)
			ticket, err := p.Finish(b, turnOf("t1", ""), 50, time.Now())
			is.NoErr(err)
			tickets = append(tickets, ticket)
		}
		time.Sleep(2 * stalledAfter)
		b := startOwner(f, "127.0.0.1:8")
		defer b.stop()
		time.Sleep(2 * time.Second)
		is.Equal(len(a.HeldPartitions()), 2)
		f.setFailingPartitions()
		for i, p := range held {
			is.NoErr(p.Await(t.Context(), tickets[i]))
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(a.HeldPartitions()), 1)
		is.Equal(len(b.HeldPartitions()), 1)
	})
}

func (f *fakeStore) setFailingPartitions(ids ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = ids
}

func (f *fakeStore) setRefuseLeave(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuseLeave = refuse
}
