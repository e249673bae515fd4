package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// ShutdownContexts returns two contexts for shutdown: the first SIGINT or SIGTERM ends graceful, a SIGINT after it ends
// forced. A further SIGTERM has no effect. The returned function ends both and stops handling signals.
func ShutdownContexts(parent context.Context) (graceful, forced context.Context, release func()) {
	graceful, endGraceful := context.WithCancel(parent)
	forced, endForced := context.WithCancel(parent)
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM)
	stop := context.AfterFunc(parent, func() { signal.Stop(ch) })
	cancelOnSignals(ch, endGraceful, endForced)
	return graceful, forced, func() {
		stop()
		signal.Stop(ch)
		endGraceful()
		endForced()
	}
}
