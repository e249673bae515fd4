package devel_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"galenaward.example/galenaward/internal/cmdl/opcmd"
	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/role/devel"
	"galenaward.example/galenaward/internal/sched/kvmem"
)

// TestNewProgramWaitsForEngineMemory fills an engine's memory with the cache of an active program. A second program of
// the workspace waits until the first has been idle for kvmem.IdleTTL. The first program and other workspaces do not
// wait.
func TestNewProgramWaitsForEngineMemory(t *testing.T) {
	f := startFleet(t, devel.Options{Sidecar: func(_ int, c *config.Sidecar) { c.EngineMemoryTokens = 400 }})
	key, err := opcmd.CreateWorkspaceWithKey(t.Context(), f.URL(0), operator, "small")
	f.is.NoErr(err)
	large, small := f.as(f.key), f.as(key)
	text := strings.Repeat("word ", 100)
	timed := func(c caller, p string) time.Duration {
		started := time.Now()
		f.is.Equal(c.call(0, p, text).status, http.StatusOK)
		return time.Since(started)
	}
	first, second, other := large.program(0), large.program(0), small.program(0)
	timed(large, first)
	f.is.True(timed(large, first) < kvmem.IdleTTL/2)
	f.is.True(timed(small, other) < kvmem.IdleTTL/2)
	f.is.True(timed(large, second) > kvmem.IdleTTL/2)
}
