package plog

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

// Handler processes the entries that a Tail reads. Its methods are called from a single goroutine.
type Handler interface {
	// HandleEntry is called for each entry of the stream, in order.
	HandleEntry(e Entry)
	// HandleGap is called when entries before the offset oldest were trimmed before they were read. The entries starting
	// at oldest follow.
	HandleGap(oldest int64)
	// HandleEnd is called when the end of the stream is reached: every entry before next has been handled.
	HandleEnd(next int64)
}

const (
	readWaitMS        = 1000
	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = 300 * time.Millisecond
)

// Tail reads one stream of the log continuously and passes its entries to a Handler.
type Tail struct {
	log     Log
	stream  string
	next    int64
	handler Handler
	// lastRead is the time of the last successful read. It includes a monotonic clock reading, so SinceRead isn't
	// affected by changes of the system clock.
	lastRead atomic.Pointer[time.Time]
}

// NewTail returns a Tail that starts at the offset from.
func NewTail(l Log, stream string, from int64, h Handler) *Tail {
	return &Tail{log: l, stream: stream, next: from, handler: h}
}

// Run reads the stream until ctx ends, retrying failed reads.
func (t *Tail) Run(ctx context.Context) error {
	pause := minReadRetryDelay
	for ctx.Err() == nil {
		p, err := t.log.Read(ctx, t.stream, t.next, readWaitMS)
		if err == nil {
			pause = minReadRetryDelay
			t.handlePage(p)
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxReadRetryDelay)
	}
	return nil
}

func (t *Tail) handlePage(p Page) {
	now := time.Now()
	t.lastRead.Store(&now)
	if p.Oldest > t.next {
		t.next = p.Oldest
		t.handler.HandleGap(p.Oldest)
	}
	for _, e := range p.Entries {
		if e.Offset != t.next {
			continue
		}
		t.handler.HandleEntry(e)
		t.next = e.Offset + 1
	}
	if t.next == p.Next {
		t.handler.HandleEnd(t.next)
	}
}

// SinceRead returns the time since the last successful read, or the largest time.Duration before the first.
func (t *Tail) SinceRead() time.Duration {
	at := t.lastRead.Load()
	if at == nil {
		return math.MaxInt64
	}
	return time.Since(*at)
}
