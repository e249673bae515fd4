package layout

import (
	"slices"
	"strings"
)

// RegionSet is a set of regions that requests may reach. The zero value allows every region. It is immutable.
type RegionSet struct {
	// Restricted means that only the regions in Names are allowed. A restricted set without names allows none.
	Restricted bool `json:"restricted,omitempty"`
	// Names is sorted.
	Names []string `json:"names,omitempty"`
}

// NewRegionSet returns the set that allows the named regions only, or every region if no name is given.
func NewRegionSet(names ...string) RegionSet {
	if len(names) == 0 {
		return RegionSet{}
	}
	return RegionSet{Restricted: true, Names: slices.Compact(slices.Sorted(slices.Values(names)))}
}

// Intersect returns the regions that both sets allow.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case !s.Restricted:
		return other
	case !other.Restricted:
		return s
	}
	out := RegionSet{Restricted: true}
	for _, n := range s.Names {
		if other.Allows(n) {
			out.Names = append(out.Names, n)
		}
	}
	return out
}

// Allows reports whether requests may reach the region. The empty name stands for an unknown region, which is in no
// restricted set.
func (s RegionSet) Allows(region string) bool {
	return !s.Restricted || region != "" && slices.Contains(s.Names, region)
}

// String returns the names separated by commas, "any" for a set without restriction, and "none" for one without names.
func (s RegionSet) String() string {
	switch {
	case !s.Restricted:
		return "any"
	case len(s.Names) == 0:
		return "none"
	}
	return strings.Join(s.Names, ",")
}
