package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// assign applies an assignment: it opens the new partitions and hands over those that were reassigned.
func (o *Owner) assign(a store.Assignment) {
	o.mu.Lock()
	if o.leaving {
		o.mu.Unlock()
		return
	}
	o.joined = true
	o.generation = max(o.generation, a.Generation)
	maps.DeleteFunc(o.assignedSince, func(id int, _ time.Time) bool { return !slices.Contains(a.Partitions, id) })
	for _, id := range a.Partitions {
		if _, known := o.assignedSince[id]; !known {
			o.assignedSince[id] = time.Now()
		}
	}
	var lost []*Partition
	for id, p := range o.held {
		if !slices.Contains(a.Partitions, id) {
			lost = append(lost, p)
		}
	}
	for id, cancel := range o.cancels {
		if _, held := o.held[id]; !held && !slices.Contains(a.Partitions, id) {
			cancel()
			delete(o.cancels, id)
		}
	}
	var gained []int
	for _, id := range a.Partitions {
		if _, opened := o.cancels[id]; !opened {
			gained = append(gained, id)
		}
	}
	o.mu.Unlock()
	o.handOver(lost)
	for _, id := range gained {
		o.openPartition(id, a.Generation)
	}
}

// handOver drains the partitions, then releases them.
func (o *Owner) handOver(ps []*Partition) {
	o.drain(ps)
	o.release(ps)
}

// drain stops admitting turns to the partitions, and waits up to handoverTimeout for running ones and for unconfirmed
// appends.
func (o *Owner) drain(ps []*Partition) {
	for deadline := time.Now().Add(handoverTimeout); len(ps) > 0 && time.Now().Before(deadline); {
		draining := 0
		for _, p := range ps {
			if !p.close() {
				draining++
			}
		}
		if draining == 0 {
			return
		}
		time.Sleep(handoverPollInterval)
	}
}

// release gives the partitions up.
func (o *Owner) release(ps []*Partition) {
	for _, p := range ps {
		o.drop(p, errors.Wrapf(ErrMoved, "partition %d", p.id))
	}
}

// drop marks the partition lost and stops its goroutines, so that the next heartbeat opens it again if it is still
// assigned to this process. That holds also for a partition that is lost before it is served.
func (o *Owner) drop(p *Partition, cause error) {
	p.markLost(cause)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held[p.id] == p {
		delete(o.held, p.id)
	}
	if cancel, ok := o.cancels[p.id]; ok && o.isNewestOpening(p) {
		cancel()
		delete(o.cancels, p.id)
	}
}

// isNewestOpening reports whether this process has not begun to open the partition again. The caller holds the lock.
func (o *Owner) isNewestOpening(p *Partition) bool { return o.epochs[p.id] == p.epoch }

// openingsPerGeneration is the number of epochs that each generation of the group has for a partition.
const openingsPerGeneration = 1 << 20

// nextEpoch returns the epoch for an opening of the partition under the generation. It is higher than the epochs of all
// openings under earlier generations and of this process's earlier ones under the same generation. Within a generation
// the store assigns a partition to one member only, and a member's name is not used by a second process, so no other
// opening has the epoch. An opening that reused an epoch would number its appends from the first again, and the store
// would take them for repeats and drop their records. The caller holds the lock.
func (o *Owner) nextEpoch(id int, generation int64) int64 {
	o.epochs[id] = max(o.epochs[id]+1, generation*openingsPerGeneration)
	return o.epochs[id]
}

// openPartition fences and loads a partition in the background and appends to it until it is lost.
func (o *Owner) openPartition(id int, generation int64) {
	ctx, cancel := context.WithCancel(o.group.Context())
	o.mu.Lock()
	o.cancels[id] = cancel
	epoch := o.nextEpoch(id, generation)
	o.mu.Unlock()
	o.group.Go(func(context.Context) error {
		defer cancel()
		p := o.fencePartition(ctx, id, epoch)
		if p == nil {
			o.mu.Lock()
			if ctx.Err() == nil {
				delete(o.cancels, id)
			}
			o.mu.Unlock()
			return nil
		}
		o.group.Go(func(context.Context) error {
			p.load(ctx, func() { o.startServing(p) })
			return nil
		})
		err := p.appendQueued(ctx)
		o.drop(p, errors.Wrapf(ErrMoved, "partition %d", id))
		return err
	})
}

// startServing makes the partition available to turns unless it is already lost or this process opens it again.
func (o *Owner) startServing(p *Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.isLost() || !o.isNewestOpening(p) {
		return
	}
	o.held[p.id] = p
}

// fencePartition returns the partition once previous holders can no longer write to it. It returns nil if a newer
// writer holds the partition or ctx ends.
func (o *Owner) fencePartition(ctx context.Context, id int, epoch int64) *Partition {
	for ctx.Err() == nil {
		p := newPartition(id, epoch, o.store, &o.timeouts, o.limits, o.logEvent)
		err := p.fence(ctx)
		if err == nil {
			return p
		}
		o.logEvent("partition_not_opened", "partition", id, "epoch", epoch, "cause", err)
		if errors.Is(err, store.ErrFenced) {
			return nil
		}
		select {
		case <-time.After(openRetryDelay):
		case <-ctx.Done():
		}
	}
	return nil
}
