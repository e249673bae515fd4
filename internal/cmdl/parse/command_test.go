package parse

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExtractRest(t *testing.T) {
	var files []string
	id := ""
	root := &Command{Name: "tool", Subcommands: []*Command{
		{Name: "plain", Arguments: []Argument{{Name: "A", Value: &id}}},
		{Name: "group", Subcommands: []*Command{
			{Name: "many", Arguments: []Argument{{Name: "ID", Value: &id}}, Rest: &Rest{Name: "FILE", Values: &files}},
		}},
	}}
	tests := []struct{ args, kept, rest string }{
		{"", "", ""},
		{"plain x y", "plain x y", ""},
		{"group many", "group many", ""},
		{"group many id", "group many id", ""},
		{"group many id a b", "group many id", "a b"},
		{"group many --help", "group many --help", ""},
		{"group many id a -x b", "group many id -x", "a b"},
		{"nothing many id a", "nothing many id a", ""},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			is := is.New(t)
			files = nil
			kept := extractRest(root, strings.Fields(tt.args))
			is.Equal(strings.Join(kept, " "), tt.kept)
			is.Equal(strings.Join(files, " "), tt.rest)
		})
	}
}
