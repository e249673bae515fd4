package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// fake is a store in memory with the promises of the platform's: fenced writers, appends that are done once, a group
// that spreads partitions.
type fake struct {
	mu    sync.Mutex
	parts map[int]*fakePart
	// members maps a member to its partitions.
	members    map[string][]int
	order      []string
	generation int64
	partitions int
	// down makes every call fail without effect; lose makes appends take effect and lose their answer.
	down, lose bool
	appends    int
	// stuck makes calls to leave fail without effect.
	stuck bool
	// joinDelay is how long a call to join is on its way.
	joinDelay time.Duration
	// stall stops the reading of newest records after so many; zero for none. Resume is closed to go on.
	stall  int
	resume chan struct{}
}

// repeats is how many of the last appends may be repeated; a repeat changes nothing and is answered as the first time.
const repeats = 5

type fakePart struct {
	epoch, sequence int64
	newest          map[string][]byte
}

func newFake(partitions int) *fake {
	return &fake{parts: make(map[int]*fakePart), members: make(map[string][]int), partitions: partitions}
}

func (f *fake) set(down, lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.lose = down, lose
}

func (f *fake) part(id int) *fakePart {
	p, ok := f.parts[id]
	if !ok {
		p = &fakePart{newest: make(map[string][]byte)}
		f.parts[id] = p
	}
	return p
}

func (f *fake) Append(_ context.Context, id int, fe store.Fence, records []store.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errors.Wrap(store.ErrRefused, "down")
	}
	p := f.part(id)
	switch {
	case fe.Epoch < p.epoch:
		return store.ErrFenced
	case fe.Epoch > p.epoch:
		p.epoch, p.sequence = fe.Epoch, fe.Sequence-1
		if len(records) == 0 {
			p.sequence = fe.Sequence
		}
	}
	if len(records) > 0 && (fe.Sequence > p.sequence+1 || fe.Sequence <= p.sequence-repeats) {
		return store.ErrSequence
	}
	if len(records) > 0 && fe.Sequence == p.sequence+1 {
		p.sequence++
		f.appends++
		for _, r := range records {
			if len(r.Value) == 0 {
				delete(p.newest, r.Key)
				continue
			}
			p.newest[r.Key] = r.Value
		}
	}
	if f.lose {
		return errors.Wrap(store.ErrUnknown, "lost")
	}
	return nil
}

func (f *fake) Newest(_ context.Context, id int, after string, take func(store.Record)) (store.Page, error) {
	const pageRecords = 3
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Page{}, errors.Wrap(store.ErrRefused, "down")
	}
	var keys []string
	for k := range f.part(id).newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var pg store.Page
	for _, k := range keys[:min(pageRecords, len(keys))] {
		f.taken(take, store.Record{Key: k, Value: f.part(id).newest[k]})
		if len(keys) > pageRecords {
			pg.After = k
		}
	}
	return pg, nil
}

// taken hands one record over, without the lock. The caller holds it.
func (f *fake) taken(take func(store.Record), r store.Record) {
	resume := f.resume
	stalls := f.stall == 1
	if f.stall > 0 {
		f.stall--
	}
	f.mu.Unlock()
	defer f.mu.Lock()
	if stalls {
		<-resume
	}
	take(r)
}

func (f *fake) Join(_ context.Context, member string, _ int64, _ time.Duration) (store.Assignment, error) {
	f.mu.Lock()
	delay := f.joinDelay
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Assignment{}, errors.Wrap(store.ErrRefused, "down")
	}
	if !slices.Contains(f.order, member) {
		f.order = append(f.order, member)
		f.spread()
	}
	return store.Assignment{Generation: f.generation, Partitions: f.members[member]}, nil
}

func (f *fake) Leave(_ context.Context, member string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stuck {
		return errors.Wrap(store.ErrRefused, "stuck")
	}
	if i := slices.Index(f.order, member); i >= 0 {
		f.order = slices.Delete(f.order, i, i+1)
		f.spread()
	}
	return nil
}

// spread gives partition i to member i modulo their number.
func (f *fake) spread() {
	f.generation++
	f.members = make(map[string][]int)
	for i := range f.partitions {
		if len(f.order) > 0 {
			m := f.order[i%len(f.order)]
			f.members[m] = append(f.members[m], i)
		}
	}
}

func (f *fake) Owners(context.Context) ([]store.Owner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.Wrap(store.ErrRefused, "down")
	}
	var out []store.Owner
	for m, ps := range f.members {
		for _, p := range ps {
			out = append(out, store.Owner{Partition: p, Member: m})
		}
	}
	return out, nil
}
