package home

import (
	"maps"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/prog"
)

// standbyBufferTTL is how long the records of another home are held.
const standbyBufferTTL = 2 * time.Hour

// heldRecords are the records of a tree that another home asked this one to hold.
type heldRecords struct {
	epoch      int64
	records    []prog.Record
	receivedAt time.Time
}

// standbyBuffer holds records of other homes that are not in the log yet.
type standbyBuffer struct {
	mu     sync.Mutex
	byRoot map[string]heldRecords
	// closedEpochs maps a root to the epoch that is being, or was, taken over. Records of that epoch and earlier are
	// refused.
	closedEpochs map[string]int64
}

func newStandbyBuffer() *standbyBuffer {
	return &standbyBuffer{byRoot: make(map[string]heldRecords), closedEpochs: make(map[string]int64)}
}

// put replaces the records held for the root. It refuses those of a closed epoch.
func (b *standbyBuffer) put(root string, epoch int64, records []prog.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.closedEpochs[root]; ok && epoch <= c {
		return fault.New(fault.ProgramMoved, stepRecord, "", "program %q was taken over after epoch %d", root, c)
	}
	if len(records) == 0 {
		delete(b.byRoot, root)
		return nil
	}
	b.byRoot[root] = heldRecords{epoch: epoch, records: records, receivedAt: time.Now()}
	b.expire()
	return nil
}

func (b *standbyBuffer) expire() {
	for root, h := range b.byRoot {
		if time.Since(h.receivedAt) > standbyBufferTTL {
			delete(b.byRoot, root)
		}
	}
}

// get returns the records held for the root.
func (b *standbyBuffer) get(root string) (heldRecords, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.byRoot[root]
	return h, ok
}

// close refuses further records of the epoch and earlier ones. Records already held are kept.
func (b *standbyBuffer) close(root string, epoch int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closedEpochs[root] = max(b.closedEpochs[root], epoch)
}

// removeIfUnchanged removes the records of the root unless put has replaced them.
func (b *standbyBuffer) removeIfUnchanged(root string, h heldRecords) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byRoot[root].receivedAt.Equal(h.receivedAt) {
		delete(b.byRoot, root)
	}
}

// len returns the number of trees for which records are held.
func (b *standbyBuffer) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.byRoot)
}

// roots returns the roots for which records are held.
func (b *standbyBuffer) roots() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.byRoot))
}

// reopen accepts records of the root again after a failed takeover.
func (b *standbyBuffer) reopen(root string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.closedEpochs, root)
}
