package config

import (
	"testing"

	"github.com/matryer/is"
)

// TestRegionsAreChecked guards against names that are empty, which would stand for a data centre or a region that is
// unknown.
func TestRegionsAreChecked(t *testing.T) {
	tests := []struct {
		name, value string
		problems    int
	}{
		{"two", `{"a":"north","b":"south"}`, 0},
		{"empty", `{}`, 0},
		{"null", `null`, 0},
		{"no region", `{"a":"","b":"south"}`, 1},
		{"no data centre", `{"":"north"}`, 1},
		{"a list", `["north"]`, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := DefaultGateway()
			n := 0
			for _, e := range Parse([]byte(`{"regions": `+tt.value+`}`), s) {
				if e.Field == "regions" {
					is.Equal(e.Line, 1)
					n++
				}
			}
			is.Equal(n, tt.problems)
			if tt.problems == 0 && len(s.Regions) > 0 {
				is.Equal(s.Regions["a"], "north")
			}
		})
	}
}
