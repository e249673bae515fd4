// Measure runs the measurements in docs/MEASUREMENTS.md and docs/CAPACITY.md.
package main

import (
	"context"
	"os"

	"galenaward.example/galenaward/internal/cmdl/parse"
)

func main() {
	root := &parse.Command{
		Name: "measure", Help: "run the measurements of the documentation",
		Subcommands: []*parse.Command{pathCommand(), streamsCommand(), slopesCommand(), turnsCommand(), capacityCommand()},
	}
	os.Exit(parse.Run(context.Background(), root, os.Args[1:]))
}
