package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

const (
	// groupBytes bounds the records of one append; the store takes two MB.
	groupBytes = 1 << 20
	// linger is how long an append waits for more records, so that a busy partition makes fewer calls.
	linger = 4 * time.Millisecond
	// appendPause is the time between two tries.
	appendPause = 20 * time.Millisecond
	// fenceTries is the number of tries to fence former holders before the partition is opened anew.
	fenceTries = 4
)

// fence ends the writing of former holders.
func (p *Partition) fence(ctx context.Context) error {
	var err error
	for n := range fenceTries {
		if err = p.try(ctx, nil, n); err == nil || errors.Is(err, store.ErrFenced) || ctx.Err() != nil {
			break
		}
	}
	return errors.Wrapf(err, "fence partition %d at epoch %d", p.id, p.epoch)
}

// run appends what is queued until ctx ends or the partition is lost.
func (p *Partition) run(ctx context.Context) error {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return nil
		}
		time.Sleep(linger)
		for {
			recs, groups := p.next()
			if groups == 0 {
				break
			}
			if err := p.append(ctx, recs); err != nil {
				if ctx.Err() == nil {
					p.lose(err)
				}
				return nil
			}
			p.confirm(groups)
		}
	}
}

// next returns the records of the oldest groups that go into one append.
func (p *Partition) next() (recs []store.Record, groups int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, g := range p.queue {
		for _, r := range g {
			size += len(r.Key) + len(r.Value)
		}
		if groups > 0 && size > groupBytes {
			break
		}
		recs = append(recs, g...)
		groups++
	}
	return recs, groups
}

// append tries until the store has taken the records or another writer holds the partition.
func (p *Partition) append(ctx context.Context, recs []store.Record) error {
	p.sequence++
	began := time.Now()
	warned := false
	for n := 0; ; n++ {
		err := p.try(ctx, recs, n)
		if err == nil {
			if warned {
				p.note("store_regained", "partition", p.id, "after_ms", time.Since(began).Milliseconds())
			}
			return nil
		}
		if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) || ctx.Err() != nil {
			return err
		}
		if !warned && time.Since(began) > detachedAfter {
			warned = true
			p.note("store_lost", "partition", p.id, "records", len(recs), "cause", err)
		}
		select {
		case <-time.After(appendPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// try makes one try of an append. Its number sets how long it may take.
func (p *Partition) try(ctx context.Context, recs []store.Record, n int) error {
	ctx, cancel := context.WithTimeout(ctx, p.pace.timeout(n))
	defer cancel()
	began := time.Now()
	err := p.log.Append(ctx, p.id, store.Fence{Epoch: p.epoch, Sequence: p.sequence}, recs)
	if err == nil {
		p.pace.answered(time.Since(began))
	}
	return err
}

// confirm notes that the oldest groups are durable.
func (p *Partition) confirm(groups int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = p.queue[groups:]
	p.confirmed += int64(groups)
	p.pendingSince = time.Now()
	p.announce()
}
