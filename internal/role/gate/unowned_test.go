package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnownedPartitions covers a store that rejects appends to one partition for several seconds: the first turns wait
// for an owner, later ones are refused without waiting.
func TestUnownedPartitions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var a unownedPartitions
	is.True(!a.markUnowned(1, now))
	is.True(!a.markUnowned(1, now.Add(time.Second)))
	is.True(a.markUnowned(1, now.Add(2*time.Second)))
	is.True(!a.markUnowned(2, now.Add(2*time.Second)))
	a.markOwned(1)
	is.True(!a.markUnowned(1, now.Add(3*time.Second)))
}
