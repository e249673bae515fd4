package conf

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testBranches = []string{"/", "/a", "/a/b", "/c"}

// referenceTree is a reference model of the settings tree. It stores the accepted changes and computes each value from
// all of them.
type referenceTree struct{ accepted []Change }

func (n referenceTree) lastChangeVersion(path string) int64 {
	var v int64
	for _, c := range n.accepted {
		if AtOrBelow(path, c.Branch) {
			v = max(v, c.Version)
		}
	}
	return v
}

func (n referenceTree) value(path, name string) float64 {
	for p, ok := path, true; ok; p, ok = parent(p) {
		var found *float64
		for _, c := range n.accepted {
			for _, v := range c.Values {
				if c.Branch == p && v.Name == name {
					found = v.Value
				}
			}
		}
		if found != nil {
			return *found
		}
	}
	s, _ := LookupSpec(name)
	return s.Default
}

func TestSettingsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n referenceTree
		st := &State{}
		for i := range rapid.Int64Range(1, 30).Draw(t, "changes") {
			c := Change{
				Branch:      rapid.SampledFrom(testBranches).Draw(t, "branch"),
				BaseVersion: rapid.Int64Range(0, i+1).Draw(t, "base"),
			}
			v := Value{Name: rapid.SampledFrom([]string{Weight, MaxTurns}).Draw(t, "name")}
			if rapid.Bool().Draw(t, "set") {
				x := float64(rapid.IntRange(1, 9).Draw(t, "value"))
				v.Value = &x
			}
			c.Values = []Value{v}
			next, err := st.Apply(i, Record{ID: fmt.Sprint(i), Change: &c})
			accepted := c.BaseVersion <= i && n.lastChangeVersion(c.Branch) <= c.BaseVersion
			if (err == nil) != accepted {
				t.Fatalf("change %d: error %v, reference model accepts: %v", i, err, accepted)
			}
			if next.Version <= st.Version {
				t.Fatalf("version did not increase: %d, then %d", st.Version, next.Version)
			}
			if accepted {
				c.Version = i + 1
				n.accepted = append(n.accepted, c)
			}
			st = next
		}
		for _, b := range testBranches {
			for _, name := range []string{Weight, MaxTurns} {
				if got, want := st.Value(b, name), n.value(b, name); got != want {
					t.Fatalf("%s of %s is %v, reference model %v", name, b, got, want)
				}
			}
		}
	})
}

// TestRebaseMatchesWholeStream trims a stream at a random offset. The state rebuilt from the remaining records must
// equal the state of the whole stream.
func TestRebaseMatchesWholeStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := &State{}
		var records []OffsetRecord
		for i := range rapid.Int64Range(1, 30).Draw(t, "records") {
			x := float64(i%9 + 1)
			r := Record{ID: fmt.Sprint(i), Change: &Change{
				Branch: "/a", BaseVersion: i, Values: []Value{{Name: Weight, Value: &x}},
			}}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				r = Record{ID: fmt.Sprint(i), Snapshot: whole}
			}
			records = append(records, OffsetRecord{Offset: i, Record: r})
			whole, _ = whole.Apply(i, r)
		}
		oldest := rapid.Int64Range(0, int64(len(records))).Draw(t, "oldest")
		got, err := Rebuild(oldest, records[oldest:])
		if errors.Is(err, ErrNoSnapshot) {
			return
		}
		if err != nil || got.Version != whole.Version || got.Value("/a", Weight) != whole.Value("/a", Weight) {
			t.Fatalf("rebuilt from offset %d: version %d weight %v; whole stream: version %d weight %v; error %v",
				oldest, got.Version, got.Value("/a", Weight), whole.Version, whole.Value("/a", Weight), err)
		}
	})
}

func TestUndoRestoresPreviousValues(t *testing.T) {
	is := is.New(t)
	one, two := 1.0, 2.0
	st, err := (&State{}).Apply(0, Record{ID: "a", Change: &Change{
		Branch: "/a", Values: []Value{{Name: Weight, Value: &one}},
	}})
	is.NoErr(err)
	st, err = st.Apply(1, Record{ID: "b", Change: &Change{
		Branch: "/a", BaseVersion: 1, Values: []Value{{Name: Weight, Value: &two}, {Name: MaxTurns, Value: &two}},
	}})
	is.NoErr(err)
	c, err := st.Undo(2, 2, "op")
	is.NoErr(err)
	st, err = st.Apply(2, Record{ID: "c", Change: &c})
	is.NoErr(err)
	is.Equal(st.Value("/a", Weight), 1.0)
	is.Equal(st.Value("/a", MaxTurns), 450.0)
	_, err = st.Apply(3, Record{ID: "c", Change: &Change{
		Branch: "/a", BaseVersion: 3, Values: []Value{{Name: Weight, Value: &two}},
	}})
	is.True(errors.Is(err, ErrDuplicate)) // A record that is delivered twice is applied once.
}
