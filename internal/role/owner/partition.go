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
	// ErrDetached means that the store confirms no appends, so that no turn could be kept.
	ErrDetached = errors.New("the store does not confirm appends")
)

// detachedAfter is how long an append may go unconfirmed before the partition counts as detached from the store,
// whose answers take a few milliseconds on a good day and a quarter of a second on a slow one.
const detachedAfter = 700 * time.Millisecond

// Partition is a partition that this process holds. Its appends go out in groups, one at a time, in order. It is
// safe for concurrent use.
type Partition struct {
	id    int
	epoch int64
	log   store.Log
	note  func(event string, kv ...any)
	pace  *pace

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
	// open says that all accounts are known, whole that everything has been read; whole implies open. Neither is ever
	// cleared.
	open, whole bool
	// fresh says that the partition held nothing when it was read.
	fresh bool
	// programTickets holds the group that must be confirmed before a program's tokens may be handed out.
	programTickets map[turns.Ref]int64
	sequence       int64
}

func newPartition(id int, epoch int64, log store.Log, pc *pace, note func(string, ...any)) *Partition {
	return &Partition{
		id: id, epoch: epoch, log: log, pace: pc, note: note, ledger: turns.New(),
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
	if p.detached(now) && !p.settled(c) {
		return Begun{}, errors.Wrapf(ErrDetached, "partition %d for %s", p.id, now.Sub(p.pendingSince).Round(time.Millisecond))
	}
	chain, err := p.chain(previous)
	if err != nil {
		return Begun{}, err
	}
	rec, err := p.ledger.Reserve(c, now)
	if err != nil {
		return Begun{}, err
	}
	if rec != nil {
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
	ticket := p.push(recs, now)
	p.programTickets[b.Claim.Program] = ticket
	return ticket, nil
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

// Chain returns the chain that ends with the turn.
func (p *Partition) Chain(ref turns.Ref) ([]turns.Turn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != nil {
		return nil, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	return p.chain(ref)
}

// Knows reports whether the program has begun a turn here.
func (p *Partition) Knows(program turns.Ref) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Program(program).Until != 0
}

// Certain returns the chain like Chain. If the turn is unknown, it first lets the store confirm that no other process
// holds the partition: no end of a turn is told before its record is, so the turn then does not exist.
func (p *Partition) Certain(ctx context.Context, ref turns.Ref) ([]turns.Turn, error) {
	if err := p.AwaitChain(ctx, ref); err != nil {
		return nil, err
	}
	chain, err := p.Chain(ref)
	if !errors.Is(err, turns.ErrUnknown) {
		return chain, err
	}
	p.mu.Lock()
	ticket := p.push([]store.Record{turns.Marker()}, time.Now())
	p.mu.Unlock()
	if err := p.Await(ctx, ticket); err != nil {
		return nil, err
	}
	return p.Chain(ref)
}

// Fresh reports whether the partition is known to have held nothing when it was opened.
func (p *Partition) Fresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fresh
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

// settled reports whether the turn can run without the store: its tokens are covered by a record that is confirmed, so
// that a successor counts them as spent, and it leaves no record of its own.
func (p *Partition) settled(c turns.Claim) bool {
	return !c.Recorded && p.ledger.Covered(c) && p.programTickets[c.Program] <= p.confirmed
}

func (p *Partition) detached(now time.Time) bool {
	return p.asked > p.confirmed && now.Sub(p.pendingSince) > detachedAfter
}

// Await returns nil when the group with the ticket is confirmed, and ErrMoved when the partition is lost before.
func (p *Partition) Await(ctx context.Context, ticket int64) error {
	return p.await(ctx, func() bool { return p.confirmed >= ticket })
}

// await returns nil when the condition holds, which is asked under the lock, and ErrMoved when the partition is lost
// before.
func (p *Partition) await(ctx context.Context, condition func() bool) error {
	for {
		p.mu.Lock()
		done, lost, changed := condition(), p.lost, p.changed
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

func (p *Partition) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost != nil
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
	if p.lost != nil || !p.whole {
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
