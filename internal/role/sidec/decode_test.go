package sidec

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// endless repeats a text without end and counts the bytes read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text)
	e.read += n
	return n, nil
}

// TestEndlessBodyOfAnEngineIsBounded guards against a sidecar that runs out of memory since its engine sends a list or a value
// without end.
func TestEndlessBodyOfAnEngineIsBounded(t *testing.T) {
	for _, tt := range []struct{ name, head, text string }{
		{"list", `{"data":[`, `{"id":"m"},`},
		{"string", `{"data":[{"id":"`, "x"},
		{"spaces", "", " "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rest := &endless{text: strings.Repeat(tt.text, 100)}
			var body struct {
				Data []struct {
					ID string `json:"id"`
				} `json:"data"`
			}
			is.True(decodeEngine(io.MultiReader(strings.NewReader(tt.head), rest), &body) != nil)
			is.True(rest.read <= maxEngineBody+1<<20)
		})
	}
}
