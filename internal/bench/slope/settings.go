package slope

import (
	"encoding/json"
	"fmt"

	"galenaward.example/galenaward/internal/state/conf"
)

// keysPerWorkspace is the number of keys issued for each workspace.
const keysPerWorkspace = 4

// newSettings returns a state with the given number of workspaces, each with its own branch, one value and its keys.
func newSettings(workspaces int) *conf.State {
	s := &conf.State{}
	off := int64(0)
	apply := func(r conf.Record) {
		r.ID = fmt.Sprint("0b7e3f5c-0000-0000-0000-", off)
		s, _ = s.Apply(off, r)
		off++
	}
	for i := range workspaces {
		name := fmt.Sprint("workspace-", i)
		weight := 2.0
		apply(conf.Record{Workspace: &conf.Workspace{Name: name, Branch: "/" + name}})
		apply(conf.Record{Change: &conf.Change{
			Branch: "/" + name, BaseVersion: off, Values: []conf.Value{{Name: conf.Weight, Value: &weight}},
		}})
		for k := range keysPerWorkspace {
			id := fmt.Sprint("key-", i, "-", k)
			apply(conf.Record{Key: &conf.Key{ID: id, Workspace: name, Digest: conf.SecretDigest(id)}})
		}
	}
	return s
}

// Settings measures the memory and the snapshot of the settings and the time for one change and for one lookup of a
// key, by workspaces.
func Settings() ([]Row, error) {
	var out []Row
	for _, n := range []int{100, 400, 1100} {
		s := newSettings(n)
		b, err := json.Marshal(s)
		if err != nil {
			return nil, err
		}
		weight := 3.0
		change := conf.Record{ID: "x", Change: &conf.Change{
			Branch: "/workspace-0", BaseVersion: s.Version, Values: []conf.Value{{Name: conf.Weight, Value: &weight}},
		}}
		out = append(out,
			Row{"settings: memory", "workspace with 4 keys", n, heapBytes(func() any { return newSettings(n) }), bytes},
			Row{"settings: snapshot", "workspace with 4 keys", n, float64(len(b)), bytes},
			Row{
				"settings: one change applied", "workspace with 4 keys", n,
				meanMicros(func() { _, _ = s.Apply(s.Version, change) }), micros,
			},
			Row{
				"settings: one key looked up", "workspace with 4 keys", n,
				meanMicros(func() { s.KeyBySecret("key-0-0") }), micros,
			})
	}
	return out, nil
}
