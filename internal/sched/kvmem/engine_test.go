package kvmem

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNewProgramsWaitWhileMemoryIsFull(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	e := NewEngine(1000)
	for i := range 3 {
		p := fmt.Sprint("p", i)
		is.True(e.Admits("council", p, 300, now))
		e.CallStarted("council", p, 300)
		e.CallEnded(p, 300, now)
	}
	is.True(e.Admits("council", "p0", 400, now))  // Already running.
	is.True(!e.Admits("council", "p3", 300, now)) // Starts.
	is.True(e.Admits("kura", "k0", 300, now))     // The workspace uses less than its share.
	e.RemoveProgram("p1")
	is.True(e.Admits("council", "p3", 300, now))
	e.CallStarted("council", "p3", 300)
	is.True(!e.Admits("council", "p4", 300, now))
	is.True(e.Admits("council", "p4", 300, now.Add(IdleTTL+1))) // The others are idle for longer than IdleTTL.
}

func TestRunningProgramsKeepTheirMemory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	e := NewEngine(1000)
	e.CallStarted("council", "p0", 800)
	is.True(!e.Admits("council", "p1", 300, now.Add(time.Hour)))
	e.CallEnded("p0", 850, now.Add(time.Hour))
	is.True(e.Admits("council", "p1", 300, now.Add(2*time.Hour)))
}

func TestUnknownCapacityAdmitsEverything(t *testing.T) {
	is := is.New(t)
	e := NewEngine(0)
	e.CallStarted("council", "p0", 1<<40)
	is.True(e.Admits("council", "p1", 1<<40, time.Now()))
	e.CallEnded("p0", 1<<40, time.Now())
	is.Equal(len(e.programs), 0)
}
