package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/bench/load"
	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
)

func streamsCommand() *parse.Command {
	t, operators := &targetFlags{}, ""
	return &parse.Command{
		Name: "streams", Help: "memory of an entry per open stream; the engine must be slow",
		Flags: func(sc *flaggy.Subcommand) {
			t.flags(sc)
			sc.String(&operators, "o", "operators", "URL of the entry's operators' address")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			baseline, err := memoryInUse(operators)
			if err != nil {
				return err
			}
			for _, n := range []int{100, 400, 1600} {
				inUse, err := openStreams(ctx, t, operators, n)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "streams %-5d memory %d bytes, %d bytes per stream\n", n, inUse, (inUse-baseline)/int64(n))
			}
			return nil
		},
	}
}

// openStreams keeps n streams open for the time that t gives and returns the memory that the entry then uses.
func openStreams(ctx context.Context, t *targetFlags, operators string, n int) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.New(ctx)
	target := load.Target{URL: t.server, Key: t.key, Model: pathModel, Client: serve.NewClient()}
	for range n {
		g.Go(func(ctx context.Context) error {
			_, _, _ = target.Complete(ctx, "a long answer to hold the stream open for a while")
			return nil
		})
	}
	time.Sleep(time.Duration(t.seconds) * time.Second)
	inUse, err := memoryInUse(operators)
	cancel()
	_ = g.Wait()
	time.Sleep(time.Second)
	return inUse, err
}

// memoryInUse returns the bytes of heap and stacks that the entry uses.
func memoryInUse(operators string) (int64, error) {
	var v struct {
		Memstats struct{ HeapInuse, StackInuse int64 } `json:"memstats"`
	}
	if err := getJSON(operators+"/debug/vars", &v); err != nil {
		return 0, err
	}
	return v.Memstats.HeapInuse + v.Memstats.StackInuse, nil
}
