package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/opcmd"
	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
)

const (
	devWorkspace    = "demo"
	devDrainTimeout = 5 * time.Second
	devReadyTimeout = 10 * time.Second
)

// Dev returns the command that runs a whole deployment over loopback in one process.
func Dev() *parse.Command {
	address, engines := "127.0.0.1:8080", 2
	delay := 20 * time.Millisecond
	verbose := false
	return &parse.Command{
		Name: "dev", Help: "run everything over loopback in one process, for a first try",
		Flags: func(sc *flaggy.Subcommand) {
			sc.String(&address, "l", "listen", "address for callers")
			sc.Int(&engines, "e", "engines", "number of fake engines")
			sc.Duration(&delay, "t", "token-delay", "time between two tokens of a fake engine")
			sc.Bool(&verbose, "v", "verbose", "log to standard error")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			o := devel.Options{
				Entries: 1, Engines: engines, CallersAddress: address, OperatorSecret: "op_" + strings.ToLower(rand.Text()),
				Engine: engine.Options{TokenDelay: delay},
			}
			if verbose {
				o.Logger = telem.NewLogger(os.Stderr, "dev", "loopback", false)
			}
			return runDev(ctx, out, o)
		},
	}
}

func runDev(ctx context.Context, out io.Writer, o devel.Options) error {
	graceful, forced, release := serve.ShutdownContexts(ctx)
	defer release()
	baseCtx, cancelBase := context.WithCancel(ctx)
	defer cancelBase()
	g := group.New(baseCtx)
	d, err := devel.Start(g, o)
	if err != nil {
		return err
	}
	readyCtx, cancelReady := context.WithTimeout(graceful, devReadyTimeout)
	defer cancelReady()
	if err := d.WaitReady(readyCtx); err != nil {
		return err
	}
	callerKey, err := opcmd.CreateWorkspaceWithKey(readyCtx, d.URL(0), o.OperatorSecret, devWorkspace)
	if err != nil {
		return err
	}
	printInstructions(out, d.URL(0), o.OperatorSecret, callerKey)
	select {
	case <-graceful.Done():
	case <-g.Context().Done():
		return g.Wait()
	}
	drainCtx, cancelDrain := context.WithTimeout(forced, devDrainTimeout)
	defer cancelDrain()
	for _, e := range d.Entries {
		e.Stop(drainCtx)
	}
	for _, s := range d.Sidecars {
		s.Stop(drainCtx)
	}
	cancelBase()
	return g.Wait()
}

func printInstructions(out io.Writer, url, operatorKey, callerKey string) {
	fmt.Fprintf(out, `galenaward runs at %[1]s

operator key   %[2]s
caller key     %[3]s

A request to paste:

  curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"%[4]s","stream":true,"messages":[{"role":"user","content":"kia ora"}]}'

The commands in another terminal:

  export GALENAWARD_SERVER=%[1]s GALENAWARD_KEY=%[2]s
  galenaward settings get /%[5]s

Stop with Ctrl-C.
`, url, operatorKey, callerKey, devel.Model, devWorkspace)
}
