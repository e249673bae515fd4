package entry

import (
	"context"
	"sync"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
)

// openCalls tracks the calls in flight by key, so that they can be cancelled when their key is withdrawn.
type openCalls struct {
	mu    sync.Mutex
	calls map[string]map[*trackedCall]struct{}
}

type trackedCall struct{ cancel context.CancelCauseFunc }

func newOpenCalls() *openCalls { return &openCalls{calls: make(map[string]map[*trackedCall]struct{})} }

// Track returns a context that is cancelled when the key is withdrawn, and a function that ends the tracking.
func (o *openCalls) Track(ctx context.Context, key string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &trackedCall{cancel: cancel}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls[key] == nil {
		o.calls[key] = make(map[*trackedCall]struct{})
	}
	o.calls[key][c] = struct{}{}
	return ctx, func() { o.remove(key, c) }
}

func (o *openCalls) remove(key string, c *trackedCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls[key], c)
	if len(o.calls[key]) == 0 {
		delete(o.calls, key)
	}
	c.cancel(nil)
}

// Len returns the number of calls in flight.
func (o *openCalls) Len() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, m := range o.calls {
		n += len(m)
	}
	return int64(n)
}

// Enforce cancels the calls of keys that are unknown to the state or withdrawn.
func (o *openCalls) Enforce(st *conf.State, vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, calls := range o.calls {
		k, ok := st.Keys[key]
		if ok && !k.Withdrawn {
			continue
		}
		f := fault.New(fault.KeyWithdrawn, "relay", vm, "key %q was withdrawn", key).WithOutcome(fault.Unknown)
		for c := range calls {
			c.cancel(f)
		}
	}
}

// watchKeys calls Enforce for each new state of the settings until ctx is done.
func (e *Entry) watchKeys(ctx context.Context) error {
	for {
		changed := e.store.Changed()
		e.openCalls.Enforce(e.store.State(), e.vm)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
