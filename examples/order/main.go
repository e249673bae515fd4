// Order calls a service that must not be called twice, and repeats the call with the same idempotency key. It retries
// only errors with the outcome "not_run"; a repeat of a completed call gets the stored answer.
//
//	go run ./cmd/galenaward dev
//	go run ./examples/order http://127.0.0.1:8080 CALLER-KEY
package main

import (
	"errors"
	"fmt"
	"os"

	"galenaward.example/galenaward/examples/caller"
)

type order struct {
	Drums int `json:"drums"`
}

type request struct {
	Body           order  `json:"body"`
	IdempotencyKey string `json:"idempotency_key"`
}

type answer struct {
	Status   int    `json:"status"`
	Body     string `json:"body"`
	Replayed bool   `json:"replayed"`
}

func main() {
	if err := run(caller.FromArgs()); err != nil {
		fmt.Fprintln(os.Stderr, "order:", err)
		os.Exit(1)
	}
}

func run(c caller.Caller) error {
	program, err := c.NewProgram("fake-1", "")
	if err != nil {
		return err
	}
	for range 2 {
		out, err := placeOrder(c, program, request{order{Drums: 2}, "order-1"})
		if err != nil {
			return err
		}
		fmt.Printf("status %d, replayed %t: %s", out.Status, out.Replayed, out.Body)
	}
	return nil
}

// placeOrder sends the order and retries it while the server asks for that and the order did not run.
func placeOrder(c caller.Caller, program string, r request) (answer, error) {
	for {
		var out answer
		err := c.Post("/v1/programs/"+program+"/services/orders", r, &out)
		var apiErr *caller.APIError
		if errors.As(err, &apiErr) && apiErr.WaitForRetry() {
			continue
		}
		return out, err
	}
}
