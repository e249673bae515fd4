package owner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// expireMember ends the membership of the process at the address, as the store does after memberTTL without a heartbeat.
func (f *fakeStore) expireMember(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memberOrder = slices.DeleteFunc(f.memberOrder, func(m string) bool { return addressOf(m) == address })
	f.rebalance()
}

// expireAfterLastHeartbeat ends the membership of the process at the address memberTTL after its last heartbeat arrived. One
// may arrive at the very moment of the call.
func (l *laggingStore) expireAfterLastHeartbeat(address string) {
	if left := time.Until(l.joinedAt.Load().Add(memberTTL)); left > 0 {
		time.AfterFunc(left, func() { l.expireAfterLastHeartbeat(address) })
		return
	}
	l.expireMember(address)
}

// TestLeaseEndsBeforeAnotherProcessIsAssigned guards against two processes that allocate the same rate: one that is cut off
// from the store and goes on with an assignment that the store has given to the other.
func TestLeaseEndsBeforeAnotherProcessIsAssigned(t *testing.T) {
	tests := []struct {
		name string
		// afterHeartbeat is when the cut begins, counted from a heartbeat.
		afterHeartbeat time.Duration
	}{
		{"cut right after a heartbeat", time.Millisecond},
		{"cut between two heartbeats", heartbeatInterval / 2},
		{"cut right before a heartbeat", heartbeatInterval - time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeStore(1)
				cut := &laggingStore{fakeStore: f}
				a := startOwnerOf(cut, f.partitionCount, address)
				defer a.stop()
				time.Sleep(time.Second)
				b := startOwner(f, "127.0.0.1:8")
				defer b.stop()
				time.Sleep(5 * time.Second)
				since, _, ok := a.LeasedSince(0)
				is.True(ok)
				for before := a.LeaseExpires(); a.LeaseExpires().Equal(before); {
					time.Sleep(time.Millisecond)
				}
				renewed := time.Now()
				time.Sleep(tt.afterHeartbeat)
				cut.silent.Store(true)
				cut.expireAfterLastHeartbeat(address)
				believed, leased := 0, 0
				for time.Since(renewed) < 8*time.Second {
					_, _, aHolds := a.LeasedSince(0)
					_, _, bHolds := b.LeasedSince(0)
					if aHolds && bHolds {
						t.Fatalf("both hold the lease %v after the last heartbeat", time.Since(renewed))
					}
					if aHolds {
						leased++
					}
					if bHolds && a.Assigned(0) {
						believed++
					}
					time.Sleep(5 * time.Millisecond)
				}
				t.Logf("%d polls with a's lease, %d in which a still knew of its assignment and b held the lease", leased, believed)
				is.True(leased > 0)
				is.True(believed > 0) // Else the case was not reached.

				// After the cut and the end of the other process, the partition comes back: a new lease, not the old one.
				cut.silent.Store(false)
				time.Sleep(time.Second)
				b.stop()
				f.expireMember("127.0.0.1:8")
				time.Sleep(2 * time.Second)
				again, _, ok := a.LeasedSince(0)
				is.True(ok)
				is.True(again.After(since))
			})
		})
	}
}
