package gate

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestStreamIDOfATurn guards against an owner that keeps a turn under another ID than the one under which the gateway
// that asked resumes and cancels it.
func TestStreamIDOfATurn(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{"chosen by the gateway that asks", `{"call":{"id":"c1"},"workspace":"kura","stream_id":"S1","try":2}`, "S1"},
		{"from an older gateway", `{"call":{"id":"c1"},"workspace":"kura","try":2}`, "3hfz3fdol31v2-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := &turnRequest{}
			is.NoErr(json.Unmarshal([]byte(tt.body), q))
			is.Equal(q.streamID(), tt.want)
		})
	}
}
