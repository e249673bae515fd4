package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// assign opens the partitions that were gained and hands over those that were lost.
func (o *Owner) assign(ctx context.Context, a store.Assignment) {
	o.mu.Lock()
	if o.leaving {
		o.mu.Unlock()
		return
	}
	o.joined = true
	o.generation = max(o.generation, a.Generation)
	maps.DeleteFunc(o.assigned, func(id int, _ time.Time) bool { return !slices.Contains(a.Partitions, id) })
	for _, id := range a.Partitions {
		if _, known := o.assigned[id]; !known {
			o.assigned[id] = time.Now()
		}
	}
	var lost []*Partition
	for id, p := range o.held {
		if !slices.Contains(a.Partitions, id) {
			lost = append(lost, p)
		}
	}
	for id, end := range o.ending {
		if _, held := o.held[id]; !held && !slices.Contains(a.Partitions, id) {
			end()
			delete(o.ending, id)
		}
	}
	var gained []int
	for _, id := range a.Partitions {
		if _, busy := o.ending[id]; !busy {
			gained = append(gained, id)
		}
	}
	o.mu.Unlock()
	o.handOver(ctx, lost)
	for _, id := range gained {
		o.gain(id, a.Generation)
	}
}

// handOver waits a moment for the turns of partitions that move away, then gives the partitions up.
func (o *Owner) handOver(ctx context.Context, ps []*Partition) {
	for until := time.Now().Add(handoverPatience); len(ps) > 0 && time.Now().Before(until) && ctx.Err() == nil; {
		open := 0
		for _, p := range ps {
			if !p.close() {
				open++
			}
		}
		if open == 0 {
			break
		}
		time.Sleep(handoverStep)
	}
	for _, p := range ps {
		o.drop(p, errors.Wrapf(ErrMoved, "partition %d", p.id))
	}
}

func (o *Owner) drop(p *Partition, cause error) {
	p.lose(cause)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held[p.id] != p {
		return
	}
	delete(o.held, p.id)
	if end, ok := o.ending[p.id]; ok {
		end()
		delete(o.ending, p.id)
	}
}

// gain opens a partition in the background and appends to it until it is lost.
func (o *Owner) gain(id int, epoch int64) {
	ctx, end := context.WithCancel(o.group.Context())
	o.mu.Lock()
	o.ending[id] = end
	o.mu.Unlock()
	o.group.Go(func(context.Context) error {
		defer end()
		p := o.fence(ctx, id, epoch)
		if p == nil {
			o.mu.Lock()
			if ctx.Err() == nil {
				delete(o.ending, id)
			}
			o.mu.Unlock()
			return nil
		}
		o.group.Go(func(context.Context) error {
			p.read(ctx, func() { o.hold(p) })
			return nil
		})
		err := p.run(ctx)
		o.drop(p, errors.Wrapf(ErrMoved, "partition %d", id))
		return err
	})
}

// hold takes turns for the partition from now on, unless it was lost before.
func (o *Owner) hold(p *Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.isLost() {
		return
	}
	o.held[p.id] = p
}

// fence returns the partition once no former holder can write to it, or nil if it is held elsewhere.
func (o *Owner) fence(ctx context.Context, id int, epoch int64) *Partition {
	for ctx.Err() == nil {
		p := newPartition(id, epoch, o.backing, &o.pace, o.note)
		err := p.fence(ctx)
		if err == nil {
			return p
		}
		o.note("partition_not_opened", "partition", id, "epoch", epoch, "cause", err)
		if errors.Is(err, store.ErrFenced) {
			return nil
		}
		select {
		case <-time.After(openPause):
		case <-ctx.Done():
		}
	}
	return nil
}
