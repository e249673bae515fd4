// Package daemon holds the commands that run galenaward's long-lived processes.
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

// operatorTimeout bounds the time that a reader of metrics takes to send its request.
const operatorTimeout = 5 * time.Second

// stopper is a role that can be stopped gracefully.
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
			if err := load(file, c); err != nil {
				return err
			}
			lg := telem.NewLogger(os.Stderr, "entry", c.VM, c.LogDebug)
			return run(ctx, config.Millis(c.DrainMS), func(g *group.Group) (stopper, error) { return entry.Start(g, c, lg) })
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
			if err := load(file, c); err != nil {
				return err
			}
			lg := telem.NewLogger(os.Stderr, "sidecar", c.VM, c.LogDebug)
			return run(ctx, config.Millis(c.DrainMS), func(g *group.Group) (stopper, error) { return sidec.Start(g, c, lg) })
		},
	}
}

// load reads a settings file and lists all of its faults in one error.
func load[T config.Checked](file string, into T) error {
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

// run starts a role and stops it on the first signal gracefully, on the second or after the drain time at once.
func run(ctx context.Context, drainTime time.Duration, start func(*group.Group) (stopper, error)) error {
	graceful, forced, release := serve.Signals(ctx)
	defer release()
	base, end := context.WithCancel(ctx)
	defer end()
	g := group.New(base)
	role, err := start(g)
	if err != nil {
		return err
	}
	select {
	case <-graceful.Done():
	case <-g.Context().Done():
		return g.Wait()
	}
	drain, cancel := context.WithTimeout(forced, drainTime)
	defer cancel()
	role.Stop(drain)
	end()
	return g.Wait()
}
