package daemon

import (
	"runtime/debug"

	"galenaward.example/galenaward/internal/plat/config"
)

// heapPart is the part of a process's memory that the Go runtime may fill before it collects harder; the rest is for
// stacks, the C library and bytes that the kernel holds.
const heapPart = 0.6

// boundMemory keeps the runtime below the memory that the machine gives the process.
func boundMemory(c *config.Gateway) { debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB<<20))) }
