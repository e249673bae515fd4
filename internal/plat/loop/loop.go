// Package loop implements an event loop: one goroutine that owns a role's state and handles typed messages.
//
//	l := loop.New(func(m Msg) { … })
//	g.Go(l.Run)
//	l.Send(tickMsg{})
package loop

import "context"

const queueCapacity = 1024

// Loop passes messages to a handler, one at a time.
type Loop[M any] struct {
	queue  chan M
	done   chan struct{}
	handle func(M)
}

// New returns a loop. The handler must not block, and must not send to its own loop, since Send blocks while the queue
// is full.
func New[M any](handle func(M)) *Loop[M] {
	return &Loop[M]{queue: make(chan M, queueCapacity), done: make(chan struct{}), handle: handle}
}

// Send queues the message and reports whether the loop still accepts messages. It blocks while the queue is full.
func (l *Loop[M]) Send(m M) bool {
	select {
	case l.queue <- m:
		return true
	case <-l.done:
		return false
	}
}

// Run handles messages until ctx ends.
func (l *Loop[M]) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case m := <-l.queue:
			l.handle(m)
		case <-ctx.Done():
			return nil
		}
	}
}

// Ask sends the message that build returns for a reply channel, and waits for the reply. It returns context.Canceled if
// the loop has ended.
func Ask[M, R any](ctx context.Context, l *Loop[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if !l.Send(build(reply)) {
		return zero, context.Canceled
	}
	select {
	case r := <-reply:
		return r, nil
	case <-l.done:
		return zero, context.Canceled
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
