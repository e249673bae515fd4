package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

const (
	// preferredAppendBytes limits the size of one append, also where the store accepts larger ones.
	preferredAppendBytes = 1 << 20
	// maxRejected bounds the rejected batches that are remembered for callers that wait for them.
	maxRejected = 256
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
			err := p.append(ctx, recs)
			switch {
			case err == nil:
				p.confirmBatches(batches)
			case errors.Is(err, store.ErrInvalid):
				p.separate(batches, err)
			default:
				if ctx.Err() == nil {
					p.markLost(err)
				}
				return nil
			}
		}
	}
}

// nextAppend returns the records of the oldest batches that fit in one append, and the number of these batches.
func (p *Partition) nextAppend() (recs []store.Record, batches int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, b := range p.queue {
		size += b.size
		if batches > 0 && (size > p.appendLimit() || p.separated > 0) {
			break
		}
		recs = append(recs, b.records...)
		batches++
	}
	return recs, batches
}

// appendLimit returns the maximum size of the records of one append.
func (p *Partition) appendLimit() int { return min(preferredAppendBytes, p.limits.AppendBytes) }

// separate handles an append that the store can never accept. The batches that it combined are appended one by one, so
// that the others succeed; a single batch is rejected.
func (p *Partition) separate(batches int, cause error) {
	if batches == 1 {
		p.rejectBatch(cause)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.separated = batches
}

// rejectBatch removes the oldest batch from the queue, with the rest of the change that it is part of, and undoes it in
// the ledger. Callers that wait for the change receive the cause.
func (p *Partition) rejectBatch(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ticket, records, size, batches := p.queue[0].ticket, 0, 0, 0
	for batches < len(p.queue) && p.queue[batches].ticket == ticket {
		b := p.queue[batches]
		p.ledger.Reject(b.records)
		records, size, batches = records+len(b.records), size+b.size, batches+1
	}
	if len(p.rejected) >= maxRejected {
		clear(p.rejected)
	}
	p.rejected[ticket] = cause
	p.logEvent("append_rejected", "partition", p.id, "epoch", p.epoch, "records", records, "bytes", size, "cause", cause)
	p.dequeue(batches)
}

// dequeue removes the oldest batches, which are settled, from the queue. The caller holds the lock.
func (p *Partition) dequeue(batches int) {
	p.queue = p.queue[batches:]
	p.confirmed += int64(batches)
	p.separated = max(0, p.separated-batches)
	p.pendingSince = time.Now()
	p.notifyWaiters()
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
		if errors.Is(err, store.ErrInvalid) {
			p.sequence-- // The store did not use the number.
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
	return err == nil || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) ||
		errors.Is(err, store.ErrInvalid)
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
	for _, b := range p.queue[:batches] {
		p.ledger.Confirm(b.records)
	}
	p.dequeue(batches)
}
