package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/store"
)

// TestPartitionLostWhileLoadingIsOpenedAgain guards against a partition that no process opens: its holder is fenced
// after the accounts are loaded and before the partition is served, and the store assigns the partition to the holder
// again before the holder learns of the generation in between.
func TestPartitionLostWhileLoadingIsOpenedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeStore(1)
		openings, lost := 0, 0
		a := startOwner(f, address, WithEventLog(func(event string, _ ...any) {
			switch event {
			case "partition_lost":
				lost++
			case "partition_opened":
				if openings++; openings > 1 {
					return
				}
				f.mu.Lock()
				f.rebalance()
				epoch := f.generation * openingsPerGeneration
				f.rebalance()
				f.mu.Unlock()
				if err := f.Append(t.Context(), 0, store.Fence{Epoch: epoch}, nil); err != nil {
					t.Error(err)
				}
				time.Sleep(memberTTL)
			}
		}))
		defer a.stop()
		time.Sleep(2 * memberTTL)
		synctest.Wait()
		is.Equal(lost, 1)
		p, ok := a.HeldPartition(0)
		is.True(ok)
		is.Equal(openings, 2)
		is.NoErr(runTurn(t.Context(), p, "t1", ""))
	})
}
