package serve

import (
	"context"
	"os"

	"golang.org/x/sync/errgroup"
)

// cancelOnSignals calls graceful on the first signal and forced on an interrupt after it. A repeated SIGTERM is the same
// request to stop gracefully: supervisors send it more than once.
func cancelOnSignals(ch <-chan os.Signal, graceful, forced context.CancelFunc) {
	var g errgroup.Group
	g.Go(func() error {
		<-ch
		graceful()
		for s := range ch {
			if s == os.Interrupt {
				forced()
				return nil
			}
		}
		return nil
	})
}
