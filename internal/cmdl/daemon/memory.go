package daemon

import (
	"runtime/debug"

	"galenaward.example/galenaward/internal/plat/config"
)

// memoryLimitFraction is the fraction of the process's memory that is set as the Go runtime's soft limit, above which
// the garbage collector runs more often. The rest is for stacks, the C library and memory that the kernel holds.
const memoryLimitFraction = 0.6

// setMemoryLimit sets the Go runtime's soft memory limit from the memory that the settings allow the process.
func setMemoryLimit(c *config.Gateway) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(c.MemoryMB<<20)))
}
