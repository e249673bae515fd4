package gate

import (
	"sync"
	"time"
)

// absentAfter is how long a partition must be without a home, as seen from here, for its turns to be refused soon.
const absentAfter = 1500 * time.Millisecond

// absences remembers since when partitions have had no home that takes turns. The zero value is ready for use.
type absences struct {
	mu sync.Mutex
	m  map[int]time.Time
}

// missing notes that the partition has no home now, and reports whether that has been so for long.
func (a *absences) missing(partition int, now time.Time) (long bool) {
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
	return now.Sub(since) > absentAfter
}

// met notes that the partition has a home.
func (a *absences) met(partition int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.m, partition)
}
