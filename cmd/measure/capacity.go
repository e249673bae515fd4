package main

import (
	"context"
	"fmt"
	"io"

	"galenaward.example/galenaward/internal/bench/sizing"
	"galenaward.example/galenaward/internal/cmdl/parse"
)

func capacityCommand() *parse.Command {
	return &parse.Command{
		Name: "capacity", Help: "costs of each role at today's and the planned size, worked out from slopes",
		Run: func(_ context.Context, out io.Writer) error {
			for _, s := range []sizing.Size{sizing.Today(), sizing.Planned()} {
				fmt.Fprintf(out, "\n## %s\n\n| role | quantity | value | bound |\n|---|---|---|---|\n", s.Name)
				for _, l := range sizing.Estimates(s) {
					fmt.Fprintln(out, l)
				}
			}
			fmt.Fprintf(out, "\n## where today's mechanisms pass their bounds\n\n| role | quantity | value | bound |\n|---|---|---|---|\n")
			for _, l := range sizing.LimitingSizes() {
				fmt.Fprintln(out, l)
			}
			return nil
		},
	}
}
