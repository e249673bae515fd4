package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

const (
	// maxAppendBytes limits the size of one append; the store accepts 2 MB. A single larger batch is still sent.
	maxAppendBytes = 1 << 20
	// batchDelay is how long an append waits for more records, to reduce the number of calls of a busy partition.
	batchDelay = 4 * time.Millisecond
	// appendRetryDelay is the time between two attempts of an append.
	appendRetryDelay = 20 * time.Millisecond
	// fenceAttempts is the number of attempts to fence previous holders before the partition is opened again.
	fenceAttempts = 4
)

// fence raises the partition's epoch in the store so that appends by previous holders fail.
func (p *Partition) fence(ctx context.Context) error {
	var err error
	for range fenceAttempts {
		if err = p.attemptAppend(ctx, nil); err == nil || errors.Is(err, store.ErrFenced) || ctx.Err() != nil {
			break
		}
	}
	return errors.Wrapf(err, "fence partition %d at epoch %d", p.id, p.epoch)
}

// appendQueued appends queued batches until ctx ends or the partition is lost.
func (p *Partition) appendQueued(ctx context.Context) error {
	for {
		select {
		case <-p.queued:
		case <-ctx.Done():
			return nil
		}
		time.Sleep(batchDelay)
		for {
			recs, batches := p.nextAppend()
			if batches == 0 {
				break
			}
			if err := p.append(ctx, recs); err != nil {
				if ctx.Err() == nil {
					p.markLost(err)
				}
				return nil
			}
			p.confirmBatches(batches)
		}
	}
}

// nextAppend returns the records of the oldest batches that fit in one append, and the number of these batches.
func (p *Partition) nextAppend() (recs []store.Record, batches int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, batch := range p.queue {
		for _, r := range batch {
			size += len(r.Key) + len(r.Value)
		}
		if batches > 0 && size > maxAppendBytes {
			break
		}
		recs = append(recs, batch...)
		batches++
	}
	return recs, batches
}

// append retries until the store has taken the records, another writer holds the partition, or ctx ends.
func (p *Partition) append(ctx context.Context, recs []store.Record) error {
	p.sequence++
	began := time.Now()
	warned := false
	for {
		err := p.attemptAppend(ctx, recs)
		if err == nil {
			if warned {
				p.logEvent("store_regained", "partition", p.id, "after_ms", time.Since(began).Milliseconds())
			}
			return nil
		}
		if isFinalAppend(err) || ctx.Err() != nil {
			return err
		}
		if !warned && time.Since(began) > unavailableAfter {
			warned = true
			p.logEvent("store_lost", "partition", p.id, "records", len(recs), "cause", err)
		}
		select {
		case <-time.After(appendRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// attemptAppend appends the records with overlapping attempts until one of them is final or all have failed. The time
// between two attempts doubles, since each holds a copy of the records.
func (p *Partition) attemptAppend(ctx context.Context, recs []store.Record) error {
	fence := store.Fence{Epoch: p.epoch, Sequence: p.sequence} // An attempt may begin late, when this call has ended.
	_, err := overlapping[struct{}]{
		interval: func(n int) time.Duration { return p.timeouts.timeout() << n }, returned: p.timeouts.storeReturned(),
		attempt: func(ctx context.Context) (struct{}, error) { return struct{}{}, p.appendOnce(ctx, fence, recs) },
		final:   isFinalAppend,
	}.call(ctx)
	return err
}

// isFinalAppend reports whether the result of an append comes from the store and a repeat would not change it.
func isFinalAppend(err error) bool {
	return err == nil || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence)
}

// appendOnce makes one attempt of an append.
func (p *Partition) appendOnce(ctx context.Context, f store.Fence, recs []store.Record) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	began := time.Now()
	err := p.log.Append(ctx, p.id, f, recs)
	if err == nil {
		p.timeouts.observe(time.Since(began))
	}
	return err
}

// confirmBatches removes the oldest batches, which are durable, from the queue.
func (p *Partition) confirmBatches(batches int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, batch := range p.queue[:batches] {
		p.ledger.Confirm(batch)
	}
	p.queue = p.queue[batches:]
	p.confirmed += int64(batches)
	p.pendingSince = time.Now()
	p.notifyWaiters()
}
