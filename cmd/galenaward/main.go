// Galenaward schedules agent programs over model engines and services. Run galenaward --help for its commands.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"galenaward.example/galenaward/internal/cmdl/daemon"
	"galenaward.example/galenaward/internal/cmdl/opcmd"
	"galenaward.example/galenaward/internal/cmdl/parse"
)

// version is set at link time.
var version = "0.1.0"

func main() { os.Exit(run()) }

func run() int {
	root := &parse.Command{
		Name: "galenaward", Help: "scheduler for agent programs",
		Subcommands: []*parse.Command{
			daemon.Entry(), daemon.Sidecar(), daemon.Gateway(), daemon.Dev(),
			opcmd.Program(), opcmd.Settings(), opcmd.Workspace(), opcmd.Key(), opcmd.Order(),
			opcmd.Check(), opcmd.Defaults(), opcmd.Explain(), versionCommand(),
		},
	}
	return parse.Run(context.Background(), root, os.Args[1:])
}

func versionCommand() *parse.Command {
	return &parse.Command{
		Name: "version", Help: "print the version",
		Run: func(_ context.Context, out io.Writer) error {
			goVersion := "unknown"
			if b, ok := debug.ReadBuildInfo(); ok {
				goVersion = b.GoVersion
			}
			_, err := fmt.Fprintf(out, "galenaward %s (%s)\n", version, goVersion)
			return err
		},
	}
}
