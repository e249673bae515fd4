// Package frame implements the stream format between galenaward's own processes: JSON objects, one per line, numbered
// from zero. A reader that lost its connection requests the frames from a position on, so that a response arrives
// completely and without duplicates.
package frame

import (
	"encoding/json"

	"galenaward.example/galenaward/internal/plat/fault"
)

// Kind is the kind of a frame.
type Kind string

const (
	// Heartbeat is a heartbeat: it carries no data and has no position, and shows that the sender is alive.
	Heartbeat Kind = "beat"
	// Chunk carries one chat-completions chunk.
	Chunk Kind = "chunk"
	// Done ends a complete stream and carries its result.
	Done Kind = "done"
	// Fail ends a stream with a fault.
	Fail Kind = "fail"
)

// Frame is one element of a stream.
type Frame struct {
	// Pos is the frame's position in the stream, counted from zero without heartbeats.
	Pos   int             `json:"pos"`
	Kind  Kind            `json:"kind"`
	Data  json.RawMessage `json:"data,omitempty"`
	Fault *fault.Fault    `json:"fault,omitempty"`
}

// Last reports whether no frame follows.
func (f Frame) Last() bool { return f.Kind == Done || f.Kind == Fail }
