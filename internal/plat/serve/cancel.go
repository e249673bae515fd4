package serve

import (
	"context"
	"os"

	"golang.org/x/sync/errgroup"
)

// cancelOnSignals calls graceful on the first signal and forced on the second.
func cancelOnSignals(ch <-chan os.Signal, graceful, forced context.CancelFunc) {
	var g errgroup.Group
	g.Go(func() error {
		<-ch
		graceful()
		<-ch
		forced()
		return nil
	})
}
