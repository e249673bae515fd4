// Package daemon contains the commands that run galenaward's long-lived processes.
package daemon

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/entry"
	"galenaward.example/galenaward/internal/role/sidec"
)

// operatorReadTimeout limits how long a client of the metrics endpoint may take to send its request.
const operatorReadTimeout = 5 * time.Second

// stopper is a role with a graceful shutdown.
type stopper interface {
	Stop(ctx context.Context)
}

// Entry returns the command that runs an entry process.
func Entry() *parse.Command {
	file := ""
	return &parse.Command{
		Name: "entry", Help: "run an entry process",
		Arguments: []parse.Argument{{Name: "FILE", Help: "settings file, JSON with comments", Value: &file}},
		Run: func(ctx context.Context, _ io.Writer) error {
			c := config.DefaultEntry()
			if err := loadSettings(file, c); err != nil {
				return err
			}
			logger := telem.NewLogger(os.Stderr, "entry", c.VM, c.LogDebug)
			return runRole(ctx, config.Millis(c.DrainMS), func(g *group.Group) (stopper, error) {
				return entry.Start(g, c, logger)
			})
		},
	}
}

// Sidecar returns the command that runs a sidecar process.
func Sidecar() *parse.Command {
	file := ""
	return &parse.Command{
		Name: "sidecar", Help: "run a sidecar process beside an upstream",
		Arguments: []parse.Argument{{Name: "FILE", Help: "settings file, JSON with comments", Value: &file}},
		Run: func(ctx context.Context, _ io.Writer) error {
			c := config.DefaultSidecar()
			if err := loadSettings(file, c); err != nil {
				return err
			}
			logger := telem.NewLogger(os.Stderr, "sidecar", c.VM, c.LogDebug)
			return runRole(ctx, config.Millis(c.DrainMS), func(g *group.Group) (stopper, error) {
				return sidec.Start(g, c, logger)
			})
		},
	}
}

// loadSettings decodes a settings file into into. The error lists all faults of the file.
func loadSettings[T config.Validator](file string, into T) error {
	faults, err := config.Load(file, into)
	if err != nil {
		return err
	}
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return errors.Mark(errors.Newf("%s:\n  %s", file, strings.Join(lines, "\n  ")), parse.ErrUsage)
}

// runRole starts a role. The first signal stops it gracefully; a second signal or the end of drainTimeout stops it at
// once.
func runRole(ctx context.Context, drainTimeout time.Duration, start func(*group.Group) (stopper, error)) error {
	graceful, forced, release := serve.ShutdownContexts(ctx)
	defer release()
	baseCtx, cancelBase := context.WithCancel(ctx)
	defer cancelBase()
	g := group.New(baseCtx)
	role, err := start(g)
	if err != nil {
		return err
	}
	select {
	case <-graceful.Done():
	case <-g.Context().Done():
		return g.Wait()
	}
	drainCtx, cancelDrain := context.WithTimeout(forced, drainTimeout)
	defer cancelDrain()
	role.Stop(drainCtx)
	cancelBase()
	return g.Wait()
}
