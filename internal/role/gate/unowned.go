package gate

import (
	"sync"
	"time"
)

// unownedAfter is how long this gateway must see a partition without an owner before it refuses the partition's turns
// without waiting.
const unownedAfter = 1500 * time.Millisecond

// unownedPartitions records since when each partition has had no owner that accepts turns. The zero value is ready for
// use.
type unownedPartitions struct {
	mu sync.Mutex
	m  map[int]time.Time
}

// markUnowned records that the partition has no owner now, and reports whether that has lasted longer than
// unownedAfter.
func (a *unownedPartitions) markUnowned(partition int, now time.Time) (lasting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.m == nil {
		a.m = make(map[int]time.Time)
	}
	since, ok := a.m[partition]
	if !ok {
		a.m[partition] = now
		return false
	}
	return now.Sub(since) > unownedAfter
}

// markOwned records that the partition has an owner.
func (a *unownedPartitions) markOwned(partition int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.m, partition)
}
