package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/bench/load"
	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/serve"
)

const (
	pathModel = "fake-1"
	p50       = 50
	p99       = 99
)

// targetFlags holds the flags of the measurements that run against other processes.
type targetFlags struct {
	server, key, engine string
	seconds             int
}

func (t *targetFlags) flags(sc *flaggy.Subcommand) {
	t.seconds = 5
	sc.String(&t.server, "s", "server", "URL of an entry")
	sc.String(&t.key, "k", "key", "caller's key")
	sc.String(&t.engine, "e", "engine", "URL of the engine behind it")
	sc.Int(&t.seconds, "t", "seconds", "length of each run")
}

func pathCommand() *parse.Command {
	t := &targetFlags{}
	return &parse.Command{
		Name: "path", Help: "latency of the whole path against a direct call of the engine", Flags: t.flags,
		Run: func(ctx context.Context, out io.Writer) error {
			duration := time.Duration(t.seconds) * time.Second
			engineTarget := load.Target{URL: t.engine, Model: pathModel, Client: serve.NewClient()}
			entryTarget := load.Target{URL: t.server, Key: t.key, Model: pathModel, Client: serve.NewClient()}
			for _, workers := range []int{1, 16, 128} {
				direct := load.Run(ctx, engineTarget, workers, duration)
				viaEntry := load.Run(ctx, entryTarget, workers, duration)
				printResult(out, "direct", workers, direct)
				printResult(out, "path", workers, viaEntry)
				fmt.Fprintf(out, "added  workers=%-4d first token p50 %s p99 %s\n", workers,
					addedLatency(viaEntry, direct, p50), addedLatency(viaEntry, direct, p99))
			}
			return nil
		},
	}
}

func addedLatency(viaEntry, direct *load.Result, quantile float64) time.Duration {
	return time.Duration(
		viaEntry.FirstToken.ValueAtQuantile(quantile)-direct.FirstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

func printResult(out io.Writer, name string, workers int, r *load.Result) {
	firstToken := func(p float64) time.Duration {
		return time.Duration(r.FirstToken.ValueAtQuantile(p)) * time.Microsecond
	}
	fullAnswer := func(p float64) time.Duration {
		return time.Duration(r.FullAnswer.ValueAtQuantile(p)) * time.Microsecond
	}
	fmt.Fprintf(out, "%-6s workers=%-4d first p50 %-9s p99 %-9s whole p50 %-9s p99 %-9s %7.0f requests/s failed %d\n",
		name, workers, firstToken(p50), firstToken(p99), fullAnswer(p50), fullAnswer(p99), r.PerSecond(), r.Failed)
}
