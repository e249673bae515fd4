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
			r := &reloader{file: file, hangup: hangups()}
			var err error
			if r.raw, err = os.ReadFile(file); err != nil {
				return err
			}
			c := config.DefaultGateway()
			if err := load(file, c); err != nil {
				return err
			}
			r.cur = *c
			boundMemory(c)
			return runGateway(ctx, r, c)
		},
	}
}

func runGateway(ctx context.Context, r *reloader, c *config.Gateway) error {
	lines := telem.NewWriter(os.Stdout)
	logs := group.New(context.WithoutCancel(ctx))
	logsEnd, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	logs.Go(func(context.Context) error { return lines.Run(logsEnd) })
	lg := telem.NewLogger(lines, "gateway", c.VM, c.LogDebug)
	m := telem.NewMetrics()
	m.Gauge("log_lines_dropped", lines.Dropped)
	telem.Info(lg, "start", "callers", c.ListenCallers, "peers", c.ListenPeers, "data_centre", c.DataCentre,
		"partitions", c.Partitions, "first_start", c.FirstStart, "memory_mb", c.MemoryMB)
	err := run(ctx, config.Millis(c.StopMS), func(g *group.Group) (stopper, error) {
		if c.ListenOperators != "" {
			if _, err := serve.Start(g, c.ListenOperators, m.TextHandler(), serve.Options{ReadTimeout: operatorTimeout}); err != nil {
				return nil, err
			}
		}
		gw, err := platform.Start(g, c, lg, m)
		if err != nil {
			return nil, err
		}
		r.lg, r.apply = lg, func(n *config.Gateway) {
			boundMemory(n)
			gw.Reload(n)
		}
		g.Go(r.run)
		return gw, nil
	})
	telem.Info(lg, "stop", "cause", err)
	endLogs()
	_ = logs.Wait() // The writer returns no error.
	return err
}
