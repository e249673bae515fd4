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

// TestLearnedCapacityValues guards against a misspelt value that is taken for the default.
func TestLearnedCapacityValues(t *testing.T) {
	tests := []struct {
		value string
		ok    bool
	}{
		{"auto", true},
		{"on", true},
		{"off", true},
		{"", false},
		{"On", false},
	}
	for _, tt := range tests {
		t.Run(tt.value, func(t *testing.T) {
			is := is.New(t)
			g := DefaultGateway()
			g.LearnedCapacity = tt.value
			found := false
			for _, e := range g.Validate() {
				found = found || e.Field == "learned_capacity"
			}
			is.Equal(!found, tt.ok)
		})
	}
}
