package plog

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

const (
	maxBatchRecords     = 4096
	minAppendRetryDelay = 100 * time.Millisecond
	// maxAppendRetryDelay is short, because until a record is appended, the only copy of it outside this process may be
	// that of one standby.
	maxAppendRetryDelay = 300 * time.Millisecond
	// appendBurst is the number of appends that may be sent in a row without waiting for the gap.
	appendBurst = 8
)

// Committer appends the records of one writer to one stream. Records that are queued at the same time are appended as
// one batch. A record counts as committed once it has been read back, so that every record before it in the stream has
// been read as well.
//
//	p := c.Submit(rec)
//	if err := p.Wait(ctx); err != nil { … }
//
// Applying a record must be idempotent: a batch is appended again until an append succeeds or the batch is read back,
// so it can occur in the stream more than once.
type Committer[R any] struct {
	log     Log
	stream  string
	limiter *rate.Limiter
	apply   func(R)

	mu    sync.Mutex
	queue []queuedRecord[R]
	// inFlight maps the ID of a batch to its records, from when it is taken from the queue until it is read back.
	inFlight map[string][]queuedRecord[R]
	wake     chan struct{}

	failing atomic.Bool
	appends atomic.Int64
}

type queuedRecord[R any] struct {
	record  R
	pending *Pending
}

// Pending is a submitted record that may not be committed yet.
type Pending struct {
	// done is closed once the record has been read back and applied, or was rejected. In the latter case err is set
	// before.
	done chan struct{}
	err  error
}

// Wait blocks until the record has been read back and applied, or ctx ends. It returns ErrRejected if the log can never
// accept the record; after another error the record may still be committed later.
func (p *Pending) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewCommitter returns a committer that sends on average at most one append per gap. Apply is called for every record
// of the stream in order, whoever wrote it.
func NewCommitter[R any](l Log, stream string, gap time.Duration, apply func(R)) *Committer[R] {
	return &Committer[R]{
		log: l, stream: stream, limiter: rate.NewLimiter(rate.Every(gap), appendBurst), apply: apply,
		inFlight: make(map[string][]queuedRecord[R]), wake: make(chan struct{}, 1),
	}
}

// Submit queues the record for the next append. It doesn't block.
func (c *Committer[R]) Submit(rec R) *Pending {
	p := &Pending{done: make(chan struct{})}
	c.mu.Lock()
	c.queue = append(c.queue, queuedRecord[R]{rec, p})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return p
}

// Failing reports whether the last append failed and no batch of the committer has been read back since.
func (c *Committer[R]) Failing() bool { return c.failing.Load() }

// Appends returns the number of appends sent, retries included.
func (c *Committer[R]) Appends() int64 { return c.appends.Load() }

// Backlog returns the number of submitted records that have not been read back.
func (c *Committer[R]) Backlog() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.queue)
	for _, items := range c.inFlight {
		n += len(items)
	}
	return int64(n)
}

// Run appends submitted records until ctx ends. A Tail of the same stream must run concurrently, with the committer as
// its Handler.
func (c *Committer[R]) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		for c.sendNext(ctx) {
			if c.limiter.Wait(ctx) != nil {
				return nil
			}
		}
	}
}

// sendNext takes the queued records, up to maxBatchRecords, and appends them. It reports whether there were any.
func (c *Committer[R]) sendNext(ctx context.Context) bool {
	items := c.takeQueued()
	if len(items) == 0 {
		return false
	}
	c.send(ctx, items)
	return true
}

// send appends the records as one batch, retrying until the append succeeds, the batch is read back or ctx ends. If the
// log can never accept the batch, its records are appended one by one; a single record that it can never accept fails.
func (c *Committer[R]) send(ctx context.Context, items []queuedRecord[R]) {
	id := c.begin(items)
	data, err := encodeBatch(id, items)
	if err != nil {
		panic(err)
	}
	pause := minAppendRetryDelay
	for !c.isCommitted(id) && ctx.Err() == nil {
		c.appends.Add(1)
		_, err := c.log.Append(ctx, c.stream, data)
		if errors.Is(err, ErrRejected) {
			c.divide(ctx, id, items, err)
			return
		}
		c.failing.Store(err != nil)
		if err == nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxAppendRetryDelay)
	}
}

// divide appends the records of a rejected batch one by one, or fails the only one.
func (c *Committer[R]) divide(ctx context.Context, id string, items []queuedRecord[R], cause error) {
	c.mu.Lock()
	delete(c.inFlight, id)
	c.mu.Unlock()
	if len(items) == 1 {
		items[0].pending.err = cause
		close(items[0].pending.done)
		return
	}
	for i := range items {
		c.send(ctx, items[i:i+1])
	}
}

func encodeBatch[R any](id string, items []queuedRecord[R]) ([]byte, error) {
	b := Batch[R]{ID: id}
	for _, it := range items {
		b.Records = append(b.Records, it.record)
	}
	return json.Marshal(b)
}

func (c *Committer[R]) takeQueued() []queuedRecord[R] {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), maxBatchRecords)
	items := c.queue[:n:n]
	c.queue = c.queue[n:]
	return items
}

// begin registers the records as a batch that may be read back, and returns its ID.
func (c *Committer[R]) begin(items []queuedRecord[R]) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := uuid.NewString()
	c.inFlight[id] = items
	return id
}

func (c *Committer[R]) isCommitted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, pending := c.inFlight[id]
	return !pending
}

// HandleEntry applies the records of the entry. If the entry is a batch of this committer, its records are committed.
func (c *Committer[R]) HandleEntry(e Entry) {
	b, err := DecodeBatch[R](e)
	if err != nil {
		return
	}
	for _, r := range b.Records {
		c.apply(r)
	}
	c.mu.Lock()
	items := c.inFlight[b.ID]
	delete(c.inFlight, b.ID)
	c.mu.Unlock()
	if len(items) > 0 {
		c.failing.Store(false)
	}
	for _, it := range items {
		close(it.pending.done)
	}
}

// HandleGap does nothing, because a writer's state doesn't depend on its trimmed records.
func (c *Committer[R]) HandleGap(int64) {}

// HandleEnd does nothing.
func (c *Committer[R]) HandleEnd(int64) {}
