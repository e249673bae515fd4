package owner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// fakeStore is an in-memory store with the guarantees of the platform's store: it fences writers, applies each append
// at most once, and assigns partitions to the members of a group.
type fakeStore struct {
	mu         sync.Mutex
	partitions map[int]*fakePartition
	// assignments maps a member to the partitions that it is to hold. A partition stays with its holder until that has
	// acknowledged the generation or is no member any more.
	assignments    map[string][]int
	holders        map[int]string
	acknowledged   map[string]int64
	memberOrder    []string
	generation     int64
	partitionCount int
	// unavailable makes every call except Leave fail without effect; loseAnswers makes appends take effect but return
	// an error.
	unavailable, loseAnswers bool
	appends                  int
	// failing holds the partitions to which no appends are taken.
	failing []int
	// unavailableAt is the number of appends after which the store becomes unavailable; 0 for never.
	unavailableAt int
	// callBytes limits the records of one append; 0 for no limit. Records whose key contains invalidKey are never accepted.
	callBytes  int
	invalidKey string
	// invalidCalls counts the appends that were rejected for good.
	invalidCalls int
	// refuseLeave makes Leave fail without effect.
	refuseLeave bool
	// joinDelay is how long a Join call takes to reach the store.
	joinDelay time.Duration
	// stallAfter blocks ReadNewest before the record with this number, from 1, until resume is closed; 0 never blocks.
	stallAfter int
	resume     chan struct{}
}

// repeatableAppends is how many of the latest appends may be repeated. A repeat changes nothing and succeeds again.
const repeatableAppends = 5

type fakePartition struct {
	epoch, sequence int64
	newest          map[string][]byte
}

func newFakeStore(partitions int) *fakeStore {
	return &fakeStore{
		partitions: make(map[int]*fakePartition), assignments: make(map[string][]int), partitionCount: partitions,
		holders: make(map[int]string), acknowledged: make(map[string]int64),
	}
}

func (f *fakeStore) setFaults(unavailable, loseAnswers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable, f.loseAnswers = unavailable, loseAnswers
}

func (f *fakeStore) partition(id int) *fakePartition {
	p, ok := f.partitions[id]
	if !ok {
		p = &fakePartition{newest: make(map[string][]byte)}
		f.partitions[id] = p
	}
	return p
}

func (f *fakeStore) Append(_ context.Context, id int, fe store.Fence, records []store.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable || slices.Contains(f.failing, id) {
		return errors.Wrap(store.ErrRefused, "down")
	}
	if f.invalid(records) {
		f.invalidCalls++
		return errors.Wrap(store.ErrInvalid, "size")
	}
	p := f.partition(id)
	switch {
	case fe.Epoch < p.epoch:
		return store.ErrFenced
	case fe.Epoch > p.epoch:
		p.epoch, p.sequence = fe.Epoch, fe.Sequence-1
		if len(records) == 0 {
			p.sequence = fe.Sequence
		}
	}
	if len(records) > 0 && (fe.Sequence > p.sequence+1 || fe.Sequence <= p.sequence-repeatableAppends) {
		return store.ErrSequence
	}
	if len(records) > 0 && fe.Sequence == p.sequence+1 {
		p.sequence++
		f.appends++
		f.unavailable = f.appends == f.unavailableAt
		for _, r := range records {
			if len(r.Value) == 0 {
				delete(p.newest, r.Key)
				continue
			}
			p.newest[r.Key] = r.Value
		}
	}
	if f.loseAnswers {
		return errors.Wrap(store.ErrOutcomeUnknown, "lost")
	}
	return nil
}

// invalid reports whether the store can never accept the records in one append. The caller holds the lock.
func (f *fakeStore) invalid(records []store.Record) bool {
	size := 0
	for _, r := range records {
		size += 5 + len(r.Key) + len(r.Value)
		if f.invalidKey != "" && strings.Contains(r.Key, f.invalidKey) && len(r.Value) > 0 {
			return true
		}
	}
	return f.callBytes > 0 && size > f.callBytes
}

func (f *fakeStore) ReadNewest(_ context.Context, id int, after string, take func(store.Record)) (store.Page, error) {
	const pageRecords = 3
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return store.Page{}, errors.Wrap(store.ErrRefused, "down")
	}
	var keys []string
	for k := range f.partition(id).newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var pg store.Page
	for _, k := range keys[:min(pageRecords, len(keys))] {
		f.deliver(take, store.Record{Key: k, Value: f.partition(id).newest[k]})
		if len(keys) > pageRecords {
			pg.After = k
		}
	}
	return pg, nil
}

// deliver calls take without holding the lock. The caller holds the lock, which is released meanwhile.
func (f *fakeStore) deliver(take func(store.Record), r store.Record) {
	resume := f.resume
	stall := f.stallAfter == 1
	if f.stallAfter > 0 {
		f.stallAfter--
	}
	f.mu.Unlock()
	defer f.mu.Lock()
	if stall {
		<-resume
	}
	take(r)
}

func (f *fakeStore) Join(
	_ context.Context, member string, generation int64, _ time.Duration,
) (store.Assignment, error) {
	f.mu.Lock()
	delay := f.joinDelay
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return store.Assignment{}, errors.Wrap(store.ErrRefused, "down")
	}
	if !slices.Contains(f.memberOrder, member) {
		f.memberOrder = append(f.memberOrder, member)
		f.rebalance()
	}
	f.acknowledged[member] = generation
	var held []int
	for _, id := range f.assignments[member] {
		if h := f.holders[id]; h != member && slices.Contains(f.memberOrder, h) && f.acknowledged[h] < f.generation {
			continue
		}
		f.holders[id] = member
		held = append(held, id)
	}
	return store.Assignment{Generation: f.generation, Partitions: held}, nil
}

func (f *fakeStore) Leave(_ context.Context, member string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuseLeave {
		return errors.Wrap(store.ErrRefused, "stuck")
	}
	if i := slices.Index(f.memberOrder, member); i >= 0 {
		f.memberOrder = slices.Delete(f.memberOrder, i, i+1)
		f.rebalance()
	}
	return nil
}

// rebalance assigns partition i to member i modulo the number of members.
func (f *fakeStore) rebalance() {
	f.generation++
	f.assignments = make(map[string][]int)
	for i := range f.partitionCount {
		if len(f.memberOrder) > 0 {
			m := f.memberOrder[i%len(f.memberOrder)]
			f.assignments[m] = append(f.assignments[m], i)
		}
	}
}

func (f *fakeStore) Owners(context.Context) ([]store.Owner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, errors.Wrap(store.ErrRefused, "down")
	}
	var out []store.Owner
	for id, m := range f.holders {
		if slices.Contains(f.memberOrder, m) {
			out = append(out, store.Owner{Partition: id, Member: m})
		}
	}
	return out, nil
}
