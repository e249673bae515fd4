package events

import (
	"testing"

	"github.com/matryer/is"
)

func TestScanner(t *testing.T) {
	tests := []struct {
		name, stream, data string
		count              int64
		clean              bool
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb\n", 2, true},
		{"carriage returns", "data: a\r\n\r\n", "a\n", 1, true},
		{"several data lines", "data: a\ndata:b\n\n", "a\nb\n", 1, true},
		{"comments and empty events", ": beat\n\n\ndata: a\n\n", "a\n", 1, true},
		{"truncated in an event", "data: a\n\ndata: b\n", "a\n", 1, false},
		{"truncated in a line", "data: a\n\nda", "a\n", 1, false},
		{"nothing", "", "", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, step := range []int{1, 2, 3, 7, 1000} {
				is := is.New(t)
				var s Scanner
				for b := []byte(tt.stream); len(b) > 0; b = b[min(step, len(b)):] {
					s.Write(b[:min(step, len(b))])
				}
				is.Equal(string(s.Data()), tt.data)
				is.Equal(s.EventCount(), tt.count)
				is.Equal(s.AtBoundary(), tt.clean)
			}
		})
	}
}

// TestCompleteEvents checks the number of bytes that belong to complete events and the id from which a stream can be
// resumed.
func TestCompleteEvents(t *testing.T) {
	tests := []struct {
		name, stream, id string
		complete         int
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 30},
		{"truncated in the second", "id: 1\ndata: a\n\nid: 2\ndata:", "1", 15},
		{"truncated before the end of the first", "id: 1\ndata: a\n", "", 0},
		{"no ids", "data: a\n\n", "", 9},
		{"id without data", "id:7\n\n", "7", 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s Scanner
			is.Equal(s.Write([]byte(tt.stream)), tt.complete)
			is.Equal(s.LastEventID(), tt.id)
			s.DiscardPartial()
			is.True(s.AtBoundary())
			s.Write([]byte("id: 9\ndata: z\n\n"))
			is.Equal(s.LastEventID(), "9")
		})
	}
}
