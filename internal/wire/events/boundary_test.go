package events

import (
	"testing"

	"github.com/matryer/is"
)

// TestBoundary guards against an event stream that was cut off in an event and counts as complete.
func TestBoundary(t *testing.T) {
	tests := []struct {
		name, stream string
		reached      bool
		events       int64
	}{
		{"start", "", true, 0},
		{"complete event", "id: 1\ndata: a\n\n", true, 1},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", true, 1},
		{"comment after an event", "data: a\n\n: beat\n", true, 1},
		{"blank lines", "\n\r\n\n", true, 0},
		{"event without data", "id: 1\n\n", true, 1},
		{"cut in a data line", "id: 1\ndata: a\n\nid: 2\ndata: b", false, 1},
		{"cut after a data line", "id: 1\ndata: a\n\nid: 2\ndata: b\n", false, 1},
		{"cut after an id line", "id: 1\ndata: a\n\nid: 2\n", false, 1},
		{"cut after another field", "data: a\n\nweight-versions: 3\n", false, 1},
		{"cut in a field name", "data: a\n\ni", false, 1},
		{"cut in a comment", "data: a\n\n: be", false, 1},
		{"cut in the line end of a blank line", "data: a\r\n\r", false, 0},
		{"carriage return in a line", "data: a\n\rb\n", false, 0},
		{"comment in an event", "id: 1\n: beat\n", false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, step := range []int{1, 2, 3, 7, 1000} {
				is := is.New(t)
				var b Boundary
				for p := []byte(tt.stream); len(p) > 0; p = p[min(step, len(p)):] {
					b.Write(p[:min(step, len(p))])
				}
				is.Equal(b.Reached(), tt.reached)
				is.Equal(b.Events(), tt.events)
			}
		})
	}
}
