package prog

import "encoding/json"

// CallState is the state of a call with an idempotency key.
type CallState string

const (
	// StateIntent means that the intent is recorded and the call may have been sent.
	StateIntent CallState = "intent"
	// StateDone means that the call completed and its outcome is stored.
	StateDone CallState = "done"
	// StateNotRun means that the call was not sent and may be retried.
	StateNotRun CallState = "not_run"
	// StateUnknown means that the call may have run, so it is never sent again.
	StateUnknown CallState = "unknown"
)

// Call is the stored state of a call with an idempotency key. It is immutable.
type Call struct {
	Key     string    `json:"key"`
	Digest  string    `json:"digest"`
	State   CallState `json:"state"`
	Attempt int       `json:"attempt"`
	// Turn is the turn number of a model call; zero for service calls.
	Turn     int             `json:"turn,omitempty"`
	Response json.RawMessage `json:"answer,omitempty"`
	// Status and Body are the service's response. They are set when State is StateDone and Turn is zero.
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
}
