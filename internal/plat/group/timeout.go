package group

import (
	"context"
	"time"
)

// WithTimeout returns a context with a timeout that is derived from ctx and also ends with the process's context. The
// returned function must be called to release the callback that is registered on the process's context.
func WithTimeout(ctx, process context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	stopWatch := context.AfterFunc(process, cancel)
	return ctx, func() {
		stopWatch()
		cancel()
	}
}
