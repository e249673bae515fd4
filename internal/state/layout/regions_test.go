package layout

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestRegionSets guards against a request that reaches a region which its route or its workspace excludes.
func TestRegionSets(t *testing.T) {
	tests := []struct {
		name             string
		route, workspace []string
		// allowed is the list of regions among n, s and unknown ("") that a request may reach.
		allowed []string
		text    string
	}{
		{"no list", nil, nil, []string{"", "n", "s"}, "any"},
		{"empty lists restrict nothing", []string{}, []string{}, []string{"", "n", "s"}, "any"},
		{"of the route", []string{"n"}, nil, []string{"n"}, "n"},
		{"of the workspace", nil, []string{"s", "n", "s"}, []string{"n", "s"}, "n,s"},
		{"both", []string{"n", "s"}, []string{"s", "x"}, []string{"s"}, "s"},
		{"nothing in common", []string{"n"}, []string{"s"}, nil, "none"},
		{"an empty name is no region", []string{""}, nil, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := NewRegionSet(tt.route...), NewRegionSet(tt.workspace...)
			for _, s := range []RegionSet{a.Intersect(b), b.Intersect(a), overWire(t, a.Intersect(b))} {
				var allowed []string
				for _, r := range []string{"", "n", "s"} {
					if s.Allows(r) {
						allowed = append(allowed, r)
					}
				}
				is.Equal(allowed, tt.allowed)
				is.Equal(s.String(), tt.text)
			}
		})
	}
}

// overWire returns the set as a peer reads it.
func overWire(t *testing.T, s RegionSet) (out RegionSet) {
	t.Helper()
	b, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil {
		t.Fatal(err)
	}
	return out
}
