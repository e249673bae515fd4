package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

var (
	// ErrMoved means that another process holds the partition or is about to take it over.
	ErrMoved = errors.New("partition moved to another process")
	// ErrRecordTooLarge means that a change needs a record that the store can never accept.
	ErrRecordTooLarge = errors.New("record exceeds the store's limit")
	// ErrStoreUnavailable means that the store is not confirming appends, so that a turn could not be made durable.
	ErrStoreUnavailable = errors.New("store is not confirming appends")
)

// unavailableAfter is how long an append may stay unconfirmed before the store counts as unavailable to the partition.
// The store usually answers within a few milliseconds, and within a quarter of a second when it is slow.
const unavailableAfter = 700 * time.Millisecond

// stalledAfter is how long an append may stay unconfirmed before the partition is no longer handed over, since no other
// process can open it then.
const stalledAfter = 100 * time.Millisecond

// Partition is a partition that this process holds. Records are queued in batches; appends to the store run one at a
// time and in order, and each sends one or more batches. It is safe for concurrent use.
type Partition struct {
	id       int
	epoch    int64
	log      store.Log
	logEvent func(event string, kv ...any)
	timeouts *adaptiveTimeout

	mu     sync.Mutex
	ledger *turns.Ledger
	limits Limits
	// queue holds the unsettled batches of records, oldest first. The ledger is told when they are settled.
	queue []batch
	// submitted counts the batches that were queued, confirmed those of them that are settled; submitted >= confirmed. A
	// change's ticket is the value of submitted after its last batch.
	submitted, confirmed int64
	// rejected holds, by ticket, why the store rejected changes.
	rejected map[int64]error
	// separated is the number of batches that are appended one by one, since the store rejected them together.
	separated int
	// pendingSince is when the queue last became non-empty or a batch was last confirmed.
	pendingSince time.Time
	// stateChanged is closed and replaced whenever callers of waitFor have to check their condition again.
	stateChanged chan struct{}
	// queued wakes appendQueued.
	queued chan struct{}
	// lostCause is set once the partition is no longer held; it is never cleared.
	lostCause error
	// closing makes Begin and ImportTurns fail while the partition is being handed over. It is cleared if the store does
	// not end the membership.
	closing     bool
	activeTurns int
	// accountsLoaded is set once all accounts are loaded, historyLoaded once all turns are as well. Neither is ever
	// cleared.
	accountsLoaded, historyLoaded bool
	// initiallyEmpty is set if the partition had no records when it was loaded.
	initiallyEmpty bool
	// programTickets holds the batch that must be confirmed before a program's tokens may be sent to the caller.
	programTickets map[turns.Ref]int64
	sequence       int64
}

func newPartition(
	id int, epoch int64, log store.Log, timeouts *adaptiveTimeout, limits Limits, logEvent func(string, ...any),
) *Partition {
	return &Partition{
		id: id, epoch: epoch, log: log, timeouts: timeouts, limits: limits, logEvent: logEvent, ledger: turns.New(),
		rejected:     make(map[int64]error),
		stateChanged: make(chan struct{}), queued: make(chan struct{}, 1), programTickets: make(map[turns.Ref]int64),
	}
}

// ID returns the number of the partition.
func (p *Partition) ID() int { return p.id }

// AdmittedTurn is a turn that Begin admitted.
type AdmittedTurn struct {
	Claim turns.Claim
	Chain []turns.Turn
	// Ticket must be confirmed, see Await, before the first token is sent to the caller; 0 if tokens may be sent at once.
	Ticket int64
}

// Begin admits a turn that continues the turn previous, whose ID is empty at the start of a chain. The caller must call
// Abort or Finish afterwards. While the store is unavailable, a turn that needs it waits for its return if patience is
// longer than the outage has lasted so far: an outage that is d old is expected to last about as long again.
func (p *Partition) Begin(
	c turns.Claim, previous turns.Ref, patience time.Duration, now time.Time,
) (AdmittedTurn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostCause != nil || p.closing {
		return AdmittedTurn{}, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	if p.storeUnavailable(now) && now.Sub(p.pendingSince) > patience && !p.runsWithoutStore(c, now) {
		return AdmittedTurn{}, errors.Wrapf(ErrStoreUnavailable, "partition %d for %s",
			p.id, now.Sub(p.pendingSince).Round(time.Millisecond))
	}
	chain, err := p.chainLocked(previous)
	if err != nil {
		return AdmittedTurn{}, err
	}
	allowed := p.ledger.Allowed(c, now)
	rec, err := p.ledger.Reserve(c, now)
	if err != nil {
		return AdmittedTurn{}, err
	}
	if rec != nil {
		p.programTickets[c.Program] = p.enqueue([]store.Record{*rec}, now)
	}
	p.activeTurns++
	t := AdmittedTurn{Claim: c, Chain: chain}
	if !allowed {
		t.Ticket = p.programTickets[c.Program]
	}
	return t, nil
}

// Abort ends a turn whose answer is incomplete. tokens is the number of tokens sent to the caller.
func (p *Partition) Abort(b AdmittedTurn, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeTurns--
	p.ledger.Cancel(b.Claim, tokens)
}

// Finish ends a turn whose answer is complete and returns the ticket of its record.
func (p *Partition) Finish(b AdmittedTurn, t turns.Turn, tokens int64, now time.Time) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeTurns--
	recs := p.ledger.Finish(b.Claim, t, tokens, now)
	if p.lostCause != nil {
		return 0, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	ticket := p.enqueue(recs, now)
	p.programTickets[b.Claim.Program] = ticket
	return ticket, nil
}

// ImportTurns adds turns that were completed elsewhere, by the previous holder of the partition or in another
// partition, and returns the ticket of their records.
func (p *Partition) ImportTurns(ts []turns.Turn, now time.Time) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostCause != nil || p.closing {
		return 0, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	for _, t := range ts {
		if n := t.RecordBytes(); n > p.limits.RecordBytes {
			return 0, errors.Wrapf(ErrRecordTooLarge, "turn %q: %d bytes, limit %d", t.ID, n, p.limits.RecordBytes)
		}
	}
	recs := p.ledger.Import(ts, now)
	if len(recs) == 0 {
		return p.submitted, nil // The turns may have been imported by a change that is not confirmed yet.
	}
	return p.enqueue(recs, now), nil
}

// Chain returns the turns from the start of the chain to ref.
func (p *Partition) Chain(ref turns.Ref) ([]turns.Turn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostCause != nil {
		return nil, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	return p.chainLocked(ref)
}

// HasProgram reports whether the program has an account in the partition.
func (p *Partition) HasProgram(program turns.Ref) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Account(program).ExpiresAt != 0
}

// ConfirmedChain returns the chain like Chain. Before it returns turns.ErrUnknownTurn, it appends a marker to confirm
// with the store that no other process holds the partition. Callers are told of the end of a turn only once its record
// is durable, so a turn that is unknown after that does not exist.
func (p *Partition) ConfirmedChain(ctx context.Context, ref turns.Ref) ([]turns.Turn, error) {
	if err := p.AwaitChain(ctx, ref); err != nil {
		return nil, err
	}
	chain, err := p.Chain(ref)
	if !errors.Is(err, turns.ErrUnknownTurn) {
		return chain, err
	}
	p.mu.Lock()
	ticket := p.enqueue([]store.Record{turns.Marker()}, time.Now())
	p.mu.Unlock()
	if err := p.Await(ctx, ticket); err != nil {
		return nil, err
	}
	return p.Chain(ref)
}

// WasEmpty reports whether the partition is loaded and had no records.
func (p *Partition) WasEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.initiallyEmpty
}

// enqueue queues the records of a change and returns its ticket. A change that exceeds the limit of an append is divided
// into several batches, which become durable in their order. The caller holds the lock.
func (p *Partition) enqueue(recs []store.Record, now time.Time) int64 {
	if p.submitted == p.confirmed {
		p.pendingSince = now
	}
	batches := batchesOf(recs, p.appendLimit())
	p.submitted += int64(len(batches))
	for i := range batches {
		batches[i].ticket = p.submitted
	}
	p.queue = append(p.queue, batches...)
	select {
	case p.queued <- struct{}{}:
	default:
	}
	return p.submitted
}

// runsWithoutStore reports whether the turn can run while the store is unavailable: its tokens may be sent at once, and
// it needs no record of its own. The caller holds the lock.
func (p *Partition) runsWithoutStore(c turns.Claim, now time.Time) bool {
	return !c.Recorded && p.ledger.Allowed(c, now)
}

// storeUnavailable reports whether the store has not settled an append for unavailableAfter.
func (p *Partition) storeUnavailable(now time.Time) bool {
	return p.submitted > p.confirmed && now.Sub(p.pendingSince) > unavailableAfter
}

// stalled reports whether an append has been unconfirmed for stalledAfter.
func (p *Partition) stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostCause == nil && p.submitted > p.confirmed && now.Sub(p.pendingSince) > stalledAfter
}

// Await waits until the change with the ticket is durable. It returns ErrMoved if the partition is lost first, and
// store.ErrInvalid if the store rejected the change.
func (p *Partition) Await(ctx context.Context, ticket int64) error {
	var rejected error
	err := p.waitFor(ctx, func() bool {
		rejected = p.rejected[ticket]
		return p.confirmed >= ticket
	})
	if err != nil {
		return err
	}
	return errors.Wrapf(rejected, "partition %d", p.id)
}

// waitFor waits until condition, which is called under the lock, returns true. It returns ErrMoved if the partition is
// lost first.
func (p *Partition) waitFor(ctx context.Context, condition func() bool) error {
	for {
		p.mu.Lock()
		done, lost, changed := condition(), p.lostCause, p.stateChanged
		p.mu.Unlock()
		switch {
		case done:
			return nil
		case lost != nil:
			return errors.Wrapf(ErrMoved, "partition %d", p.id)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyWaiters makes all callers of waitFor check their condition again. The caller holds the lock.
func (p *Partition) notifyWaiters() {
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
}

// markLost records that this process no longer holds the partition. Only the first call has an effect.
func (p *Partition) markLost(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostCause != nil {
		return
	}
	p.lostCause = cause
	p.notifyWaiters()
	p.logEvent("partition_lost", "partition", p.id, "epoch", p.epoch, "unconfirmed", p.submitted-p.confirmed,
		"cause", cause)
}

func (p *Partition) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostCause != nil
}

// close stops admitting turns and reports whether no turn is running and all batches are confirmed.
func (p *Partition) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closing && p.lostCause == nil {
		p.enqueue(p.ledger.Close(), time.Now())
	}
	p.closing = true
	return p.lostCause != nil || (p.activeTurns == 0 && p.submitted == p.confirmed)
}

// reopen admits turns again after close.
func (p *Partition) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = false
	if p.lostCause == nil {
		p.enqueue([]store.Record{p.ledger.Reopen()}, time.Now())
	}
}

// expire removes turns and accounts whose retention has ended, and tickets that are confirmed.
func (p *Partition) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostCause != nil || !p.historyLoaded {
		return
	}
	if recs := p.ledger.Expire(now); len(recs) > 0 {
		p.enqueue(recs, now)
	}
	for ref, t := range p.programTickets {
		if t <= p.confirmed {
			delete(p.programTickets, ref)
		}
	}
}
