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
	// ErrMoved means that another process holds the partition, or will within moments.
	ErrMoved = errors.New("the partition is held elsewhere")
	// ErrDetached means that the store has not confirmed an append in time.
	ErrDetached = errors.New("the store does not confirm appends")
)

// detachedAfter is how long an append may go unconfirmed before the partition counts as detached from the store,
// whose answers take a few milliseconds on a good day and a quarter of a second on a slow one.
const detachedAfter = 500 * time.Millisecond

// Partition is a partition that this process holds. Its appends go out in groups, one at a time, in order. It is
// safe for concurrent use.
type Partition struct {
	id    int
	epoch int64
	log   store.Log
	note  func(event string, kv ...any)

	mu     sync.Mutex
	ledger *turns.Ledger
	// queue holds the groups of records that are not confirmed, oldest first.
	queue [][]store.Record
	// asked and confirmed count the groups. Asked never falls below confirmed.
	asked, confirmed int64
	// pendingSince is when the oldest group that is not confirmed was asked for.
	pendingSince time.Time
	// changed is closed and replaced when confirmed or lost changes.
	changed chan struct{}
	wake    chan struct{}
	// lost is set when the partition is held no longer; it is never cleared.
	lost error
	// closing refuses turns that begin, before the partition is handed over.
	closing bool
	active  int
	// complete says that every turn that was ever answered whole in this partition is in the ledger.
	complete bool
	// programTickets holds the group that must be confirmed before a program's tokens may be handed out.
	programTickets map[turns.Ref]int64
	sequence       int64
}

func newPartition(id int, epoch int64, log store.Log, note func(string, ...any)) *Partition {
	return &Partition{
		id: id, epoch: epoch, log: log, note: note, ledger: turns.New(),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), programTickets: make(map[turns.Ref]int64),
	}
}

// ID returns the partition's number.
func (p *Partition) ID() int { return p.id }

// Begun is a turn that was admitted.
type Begun struct {
	Claim turns.Claim
	Chain []turns.Turn
	// Ticket must be confirmed before the first token is handed out.
	Ticket int64
}

// Begin admits a turn that continues the turn named; its id is empty at the start of a chain. End or Finish must
// follow.
func (p *Partition) Begin(c turns.Claim, previous turns.Ref, now time.Time) (Begun, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != nil || p.closing {
		return Begun{}, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	chain, err := p.ledger.Chain(previous)
	if err != nil {
		return Begun{}, err
	}
	detached := p.detached(now)
	rec, err := p.ledger.Reserve(c, now, detached)
	if err != nil {
		return Begun{}, err
	}
	if rec != nil {
		if detached {
			p.ledger.Cancel(c, 0)
			return Begun{}, errors.Wrapf(ErrDetached, "partition %d", p.id)
		}
		p.programTickets[c.Program] = p.push([]store.Record{*rec}, now)
	}
	p.active++
	return Begun{Claim: c, Chain: chain, Ticket: p.programTickets[c.Program]}, nil
}

// End ends a turn that was not answered whole after it handed out so many tokens.
func (p *Partition) End(b Begun, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	p.ledger.Cancel(b.Claim, tokens)
}

// Finish ends a turn that an engine answered whole, and returns the ticket of its record.
func (p *Partition) Finish(b Begun, t turns.Turn, tokens int64, now time.Time) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	recs := p.ledger.Finish(b.Claim, t, tokens)
	if p.lost != nil {
		return 0, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	return p.push(recs, now), nil
}

// Adopt takes turns that were answered whole elsewhere: by the former holder of the partition, or as the chain of a
// turn in another one.
func (p *Partition) Adopt(ts []turns.Turn, now time.Time) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != nil || p.closing {
		return 0, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	recs := p.ledger.Import(ts)
	if len(recs) == 0 {
		return p.confirmed, nil
	}
	return p.push(recs, now), nil
}

// Chain returns a chain, and whether an unknown turn is certain not to exist in this partition.
func (p *Partition) Chain(ref turns.Ref) (chain []turns.Turn, complete bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != nil {
		return nil, false, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	chain, err = p.ledger.Chain(ref)
	return chain, p.complete, err
}

// Complete reports whether the ledger holds every turn that was answered whole in this partition.
func (p *Partition) Complete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete && p.lost == nil
}

// push queues a group of records and returns its ticket.
func (p *Partition) push(recs []store.Record, now time.Time) int64 {
	if p.asked == p.confirmed {
		p.pendingSince = now
	}
	p.queue = append(p.queue, recs)
	p.asked++
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return p.asked
}

func (p *Partition) detached(now time.Time) bool {
	return p.asked > p.confirmed && now.Sub(p.pendingSince) > detachedAfter
}

// Await returns nil when the group with the ticket is confirmed. It returns ErrDetached when the store has not
// confirmed anything for a while, and ErrMoved when the partition is lost.
func (p *Partition) Await(ctx context.Context, ticket int64) error {
	for {
		p.mu.Lock()
		done, lost, changed, detached := p.confirmed >= ticket, p.lost, p.changed, p.detached(time.Now())
		p.mu.Unlock()
		switch {
		case done:
			return nil
		case lost != nil:
			return errors.Wrapf(ErrMoved, "partition %d", p.id)
		case detached:
			return errors.Wrapf(ErrDetached, "partition %d", p.id)
		}
		timer := time.NewTimer(detachedAfter / 4)
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// announce wakes those who wait. The caller holds the lock.
func (p *Partition) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// lose ends the holding of the partition.
func (p *Partition) lose(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != nil {
		return
	}
	p.lost = cause
	p.announce()
	p.note("partition_lost", "partition", p.id, "epoch", p.epoch, "unconfirmed", p.asked-p.confirmed, "cause", cause)
}

// close refuses new turns and reports whether none is under way and all is confirmed.
func (p *Partition) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	return p.lost != nil || (p.active == 0 && p.asked == p.confirmed)
}

// expire drops turns and accounts that are kept no longer.
func (p *Partition) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != nil {
		return
	}
	if recs := p.ledger.Expire(now); len(recs) > 0 {
		p.push(recs, now)
	}
	for ref, t := range p.programTickets {
		if t <= p.confirmed {
			delete(p.programTickets, ref)
		}
	}
}
