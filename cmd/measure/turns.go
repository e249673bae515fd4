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
	"galenaward.example/galenaward/internal/stub/memlog"
)

func turnsCommand() *parse.Command {
	t, logURL := &targetFlags{}, ""
	return &parse.Command{
		Name: "turns", Help: "turns of programs, and the log's appends and bytes for them",
		Flags: func(sc *flaggy.Subcommand) {
			t.flags(sc)
			sc.String(&logURL, "l", "log", "URL of the log stand-in")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			target := load.Target{URL: t.server, Key: t.key, Model: pathModel, Client: serve.NewClient()}
			for _, programs := range []int{1, 10, 100, 400} {
				before, err := logUsage(logURL)
				if err != nil {
					return err
				}
				const turns, pause = 20, 200 * time.Millisecond
				result := load.RunPrograms(ctx, target, programs, turns, pause)
				after, err := logUsage(logURL)
				if err != nil {
					return err
				}
				printResult(out, "turns", programs, result)
				appends, size := after.Appends-before.Appends, after.Bytes-before.Bytes
				fmt.Fprintf(out, "log    programs=%-4d %d appends, %.1f a second, %.2f a turn, %d bytes a turn\n",
					programs, appends, float64(appends)/result.Seconds, float64(appends)/float64(result.Succeeded),
					size/max(1, result.Succeeded))
			}
			return nil
		},
	}
}

func logUsage(url string) (memlog.Usage, error) {
	var u memlog.Usage
	err := getJSON(url+"/usage", &u)
	return u, err
}
