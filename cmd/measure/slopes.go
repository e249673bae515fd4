package main

import (
	"context"
	"fmt"
	"io"

	"galenaward.example/galenaward/internal/bench/slope"
	"galenaward.example/galenaward/internal/cmdl/parse"
)

func slopesCommand() *parse.Command {
	return &parse.Command{
		Name: "slopes", Help: "growth of state, messages and processor time with size",
		Run: func(_ context.Context, out io.Writer) error {
			rows := slope.Programs()
			for _, f := range []func() ([]slope.Row, error){slope.Takeover, slope.Checkpoint, slope.Settings} {
				more, err := f()
				if err != nil {
					return err
				}
				rows = append(rows, more...)
			}
			rows = append(rows, slope.Members()...)
			rows = append(rows, slope.Messages()...)
			rows = append(rows, slope.RateAndQueue()...)
			for _, r := range rows {
				fmt.Fprintln(out, r)
			}
			return nil
		},
	}
}
