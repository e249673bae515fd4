package sidec

import (
	"sync"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/wire/frame"
)

// intake admits requests of other processes until it is closed. The zero value is open.
type intake struct {
	mu     sync.RWMutex
	closed bool
}

// submit returns the frames of a request, or a refusal once the intake is closed.
func (i *intake) submit(vm string, start func() *frame.Buffer) *frame.Buffer {
	i.mu.RLock()
	defer i.mu.RUnlock()
	if !i.closed {
		return start()
	}
	b := frame.NewBuffer()
	b.Fail(fault.New(fault.Unready, "admit", vm, "sidecar is stopping"))
	return b
}

// close refuses all further requests. When it returns, every admitted request has been submitted.
func (i *intake) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}
