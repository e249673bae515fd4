// Chat runs a program of two turns through galenaward's chat-completions API.
//
//	go run ./cmd/galenaward dev
//	go run ./examples/chat http://127.0.0.1:8080 CALLER-KEY
package main

import (
	"errors"
	"fmt"
	"os"

	"galenaward.example/galenaward/examples/caller"
)

const model = "fake-1"

type request struct {
	Model    string           `json:"model"`
	Messages []caller.Message `json:"messages"`
}

func main() {
	if err := run(caller.FromArgs()); err != nil {
		fmt.Fprintln(os.Stderr, "chat:", err)
		os.Exit(1)
	}
}

// run sends two messages, each after the full history of the conversation.
func run(c caller.Caller) error {
	var err error
	if c.Program, err = c.NewProgram(model, ""); err != nil {
		return err
	}
	var history []caller.Message
	for _, text := range []string{"kia ora", "how much solution for 30 children?"} {
		history = append(history, caller.Message{Role: "user", Content: text})
		var out caller.Completion
		if err := c.Post("/v1/chat/completions", request{model, history}, &out); err != nil {
			return err
		}
		if len(out.Choices) == 0 {
			return errors.New("the answer has no choices")
		}
		history = append(history, out.Choices[0].Message)
		fmt.Println(out.Choices[0].Message.Content)
	}
	return nil
}
