package devel_test

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/cmdl/opcmd"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/stub/engine"
)

// TestEnginePriorityFavoursWorkspacesWithLessInUse runs six calls of one workspace and then one of another. The last
// call must get the same engine priority as the first of the other workspace, whose priorities get worse with each
// call.
func TestEnginePriorityFavoursWorkspacesWithLessInUse(t *testing.T) {
	f := startFleet(t, devel.Options{Engine: engine.Options{TokenDelay: 20 * time.Millisecond}})
	key, err := opcmd.CreateWorkspaceWithKey(t.Context(), f.URL(0), operator, "small")
	f.is.NoErr(err)
	large, small := f.as(f.key), f.as(key)
	smallProgram := small.program(0)
	var g errgroup.Group
	call := func(c caller, p string) func() error {
		return func() error {
			if r := c.call(0, p, strings.Repeat("word ", 40)); r.status != http.StatusOK {
				t.Errorf("call: %s", r.body)
			}
			return nil
		}
	}
	for range 6 {
		g.Go(call(large, large.program(0)))
	}
	f.eventually("six calls running", func() bool { return len(f.Engines[0].Priorities()) == 6 })
	g.Go(call(small, smallProgram))
	f.is.NoErr(g.Wait())
	all := f.Engines[0].Priorities()
	f.is.Equal(len(all), 7)
	f.is.Equal(all[6], engine.Priority{Program: smallProgram})
	// The calls use separate connections, so they may reach the engine in any order.
	slices.SortFunc(all[:6], func(a, b engine.Priority) int { return cmp.Compare(a.Value, b.Value) })
	f.is.Equal(all[0].Value, all[6].Value)
	for i := range 5 {
		f.is.True(all[i].Value < all[i+1].Value)
	}
}
