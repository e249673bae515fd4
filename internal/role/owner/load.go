package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

const (
	// readTimeout is the timeout for reading one page.
	readTimeout = 2 * time.Second
	// readRetryDelay is the time between two attempts to read a page.
	readRetryDelay = 100 * time.Millisecond
	// recordsPerNotify is the number of records after which callers that wait for a turn are notified.
	recordsPerNotify = 16
)

// ErrLoading means that the turn may be in a part of the partition that is not loaded yet.
var ErrLoading = errors.New("partition is still loading")

// load reads the records of the partition after it was fenced. Keys sort accounts before turns and newer turns before
// older ones, so that programs can continue long before all records are loaded: opened is called once all accounts are
// loaded.
func (p *Partition) load(ctx context.Context, opened func()) {
	began := time.Now()
	after, records := "", 0
	finishAccounts := func(empty bool) {
		if !p.markAccountsLoaded(empty) {
			return
		}
		p.logEvent("partition_opened", "partition", p.id, "epoch", p.epoch, "records", records,
			"ms", time.Since(began).Milliseconds())
		opened()
	}
	apply := func(r store.Record) {
		if turns.IsTurn(r) {
			finishAccounts(false)
		}
		records++
		p.restore(r, records%recordsPerNotify == 0)
	}
	for {
		page, err := p.readPage(ctx, after, apply)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			p.logEvent("partition_not_read", "partition", p.id, "epoch", p.epoch, "behind", after, "cause", err)
			select {
			case <-time.After(readRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		if after = page.After; after == "" {
			break
		}
	}
	p.markHistoryLoaded(records == 0)
	finishAccounts(records == 0)
	p.logEvent("partition_read", "partition", p.id, "epoch", p.epoch, "records", records,
		"ms", time.Since(began).Milliseconds())
}

func (p *Partition) readPage(ctx context.Context, after string, take func(store.Record)) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.log.ReadNewest(ctx, p.id, after, take)
}

func (p *Partition) restore(r store.Record, notify bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ledger.Restore(r, time.Now()); err != nil {
		p.logEvent("record_skipped", "partition", p.id, "key", r.Key, "cause", err)
	}
	if notify {
		p.notifyWaiters()
	}
}

// markAccountsLoaded opens the ledger and reports whether this is the first call. Empty means that the partition has no
// records.
func (p *Partition) markAccountsLoaded(empty bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accountsLoaded {
		return false
	}
	p.accountsLoaded = true
	now := time.Now()
	p.enqueue([]store.Record{p.ledger.Open(empty, now)}, now)
	return true
}

func (p *Partition) markHistoryLoaded(initiallyEmpty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.FinishRestore()
	p.historyLoaded, p.initiallyEmpty = true, initiallyEmpty
	p.notifyWaiters()
}

// chainLocked is Chain for callers that hold the lock. It returns ErrLoading if part of the chain may not be loaded
// yet.
func (p *Partition) chainLocked(ref turns.Ref) ([]turns.Turn, error) {
	chain, err := p.ledger.Chain(ref)
	if errors.Is(err, turns.ErrUnknownTurn) && !p.historyLoaded {
		return nil, errors.Wrapf(ErrLoading, "partition %d for turn %q", p.id, ref.ID)
	}
	return chain, err
}

// AwaitChain waits until enough of the partition is loaded to tell whether it contains the turn's whole chain.
func (p *Partition) AwaitChain(ctx context.Context, ref turns.Ref) error {
	return p.waitFor(ctx, func() bool {
		_, err := p.chainLocked(ref)
		return !errors.Is(err, ErrLoading)
	})
}
