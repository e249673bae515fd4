// Subagents runs two sub-agents of one program concurrently. They share its budget and end with it.
//
//	go run ./cmd/galenaward dev
//	go run ./examples/subagents http://127.0.0.1:8080 CALLER-KEY
package main

import (
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/examples/caller"
)

const model = "fake-1"

type turn struct {
	Messages []caller.Message `json:"messages"`
}

func main() {
	if err := run(caller.FromArgs()); err != nil {
		fmt.Fprintln(os.Stderr, "subagents:", err)
		os.Exit(1)
	}
}

func run(c caller.Caller) error {
	root, err := c.NewProgram(model, "")
	if err != nil {
		return err
	}
	var g errgroup.Group
	for _, task := range []string{"look up the stock", "plan the delivery"} {
		g.Go(func() error {
			agent, err := c.NewProgram(model, root)
			if err != nil {
				return err
			}
			var out caller.Completion
			body := turn{[]caller.Message{{Role: "user", Content: task}}}
			if err := c.Post("/v1/programs/"+agent+"/calls", body, &out); err != nil {
				return err
			}
			fmt.Println(out.Choices[0].Message.Content)
			return nil
		})
	}
	return g.Wait()
}
