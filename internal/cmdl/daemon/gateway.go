package daemon

import (
	"context"
	"io"
	"os"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/platform"
)

// Gateway returns the command that runs a gateway process on the users' platform.
func Gateway() *parse.Command {
	file := ""
	return &parse.Command{
		Name: "gateway", Help: "run a gateway process on the platform",
		Arguments: []parse.Argument{{Name: "FILE", Help: "settings file, JSON with comments", Value: &file}},
		Run: func(ctx context.Context, _ io.Writer) error {
			r := &reloader{path: file, sighup: notifySIGHUP()}
			var err error
			if r.content, err = os.ReadFile(file); err != nil {
				return err
			}
			c := config.DefaultGateway()
			if err := loadSettings(file, c); err != nil {
				return err
			}
			r.settings = *c
			setMemoryLimit(c)
			return runGateway(ctx, r, c)
		},
	}
}

func runGateway(ctx context.Context, r *reloader, c *config.Gateway) error {
	logWriter := telem.NewWriter(os.Stdout)
	logGroup := group.New(context.WithoutCancel(ctx))
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logGroup.Go(func(context.Context) error { return logWriter.Run(logCtx) })
	logger := telem.NewLogger(logWriter, "gateway", c.VM, c.LogDebug)
	metrics := telem.NewMetrics()
	metrics.Gauge("log_lines_dropped", logWriter.Dropped)
	telem.Info(logger, "start", "callers", c.ListenCallers, "peers", c.ListenPeers, "data_centre", c.DataCentre,
		"partitions", c.Partitions, "first_start", c.FirstStart, "memory_mb", c.MemoryMB)
	err := runRole(ctx, config.Millis(c.StopMS), func(g *group.Group) (stopper, error) {
		if c.ListenOperators != "" {
			if _, err := serve.Start(
				g, c.ListenOperators, metrics.TextHandler(), serve.Options{ReadTimeout: operatorReadTimeout},
			); err != nil {
				return nil, err
			}
		}
		gw, err := platform.Start(g, c, logger, metrics)
		if err != nil {
			return nil, err
		}
		r.logger, r.apply = logger, func(n *config.Gateway) {
			setMemoryLimit(n)
			gw.Reload(n)
		}
		g.Go(r.watch)
		return gw, nil
	})
	telem.Info(logger, "stop", "cause", err)
	stopLog()
	_ = logGroup.Wait() // The writer returns no error.
	return err
}
