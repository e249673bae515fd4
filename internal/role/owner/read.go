package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

const (
	// readTimeout bounds the reading of one page.
	readTimeout = 2 * time.Second
	// readPause is the time between two tries to read a page.
	readPause = 100 * time.Millisecond
	// announceRecords is the number of records after which those who wait for a turn are woken.
	announceRecords = 16
)

// ErrReading means that the turn may stand in a part of the partition that has not been read yet.
var ErrReading = errors.New("the partition is still being read")

// read restores the partition after it was fenced. Keys order the accounts before the turns and newer turns before
// older ones, so that programs can go on long before all is read: opened is called once all accounts are known.
func (p *Partition) read(ctx context.Context, opened func()) {
	began := time.Now()
	after, records := "", 0
	open := func() {
		if !p.setOpen() {
			return
		}
		p.note("partition_opened", "partition", p.id, "epoch", p.epoch, "records", records, "ms", time.Since(began).Milliseconds())
		opened()
	}
	take := func(r store.Record) {
		if turns.IsTurn(r) {
			open()
		}
		records++
		p.restore(r, records%announceRecords == 0)
	}
	for {
		page, err := p.readPage(ctx, after, take)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			p.note("partition_not_read", "partition", p.id, "epoch", p.epoch, "behind", after, "cause", err)
			select {
			case <-time.After(readPause):
			case <-ctx.Done():
			}
			continue
		}
		if after = page.After; after == "" {
			break
		}
	}
	p.setWhole(records == 0)
	open()
	p.note("partition_read", "partition", p.id, "epoch", p.epoch, "records", records, "ms", time.Since(began).Milliseconds())
}

func (p *Partition) readPage(ctx context.Context, after string, take func(store.Record)) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.log.Newest(ctx, p.id, after, take)
}

func (p *Partition) restore(r store.Record, announce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ledger.Restore(r); err != nil {
		p.note("record_skipped", "partition", p.id, "key", r.Key, "cause", err)
	}
	if announce {
		p.announce()
	}
}

// setOpen reports whether the partition was not open before.
func (p *Partition) setOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.open
	p.open = true
	return !was
}

func (p *Partition) setWhole(fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Restored()
	p.whole, p.fresh = true, fresh
	p.announce()
}

// chain returns the chain that ends with the turn. The caller holds the lock.
func (p *Partition) chain(ref turns.Ref) ([]turns.Turn, error) {
	chain, err := p.ledger.Chain(ref)
	if errors.Is(err, turns.ErrUnknown) && !p.whole {
		return nil, errors.Wrapf(ErrReading, "partition %d for turn %q", p.id, ref.ID)
	}
	return chain, err
}

// AwaitChain returns once it is certain whether the partition holds the turn and its chain.
func (p *Partition) AwaitChain(ctx context.Context, ref turns.Ref) error {
	return p.await(ctx, func() bool {
		_, err := p.chain(ref)
		return !errors.Is(err, ErrReading)
	})
}
