// Standin serves stand-ins for the external systems that galenaward depends on: the platform's log, VM list and store
// of weights, a model engine and a plain service. It is meant for tests and for trying out galenaward.
package main

import (
	"context"
	"os"

	"galenaward.example/galenaward/internal/cmdl/fakes"
	"galenaward.example/galenaward/internal/cmdl/parse"
)

func main() { os.Exit(parse.Run(context.Background(), fakes.Root(), os.Args[1:])) }
