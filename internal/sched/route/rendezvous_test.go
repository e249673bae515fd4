package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestRendezvousMovesOnlyKeysOfRemovedNode compares rendezvous hashing with hashing modulo the number of nodes, which
// moves most keys.
func TestRendezvousMovesOnlyKeysOfRemovedNode(t *testing.T) {
	is := is.New(t)
	nodes := testNodes(10)
	moved, naive := 0, 0
	for i := range 1000 {
		key := fmt.Sprint("program-", i)
		before := Rendezvous(key, nodes)[0]
		after := Rendezvous(key, nodes[:9])[0]
		if before.VM != after.VM {
			moved++
			is.Equal(before.VM, "vm-9")
		}
		if i%10 != i%9 {
			naive++
		}
	}
	is.True(moved > 50 && moved < 150)
	is.True(naive > 800)
}
