package config

import (
	"testing"

	"github.com/matryer/is"
)

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
