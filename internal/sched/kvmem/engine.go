// Package kvmem allots an engine's cache memory to running programs. When their caches fill the memory, each program
// that starts evicts the cache of one that pauses between two calls, which must then be prefilled again. A program that
// starts therefore waits, unless its workspace uses less than its share of the memory.
package kvmem

import "time"

const (
	// IdleTTL is the pause after which a program's cache counts as free.
	IdleTTL = 6 * time.Second
	// MaxWait is the longest time that a program waits for memory; after it, the program starts anyway.
	MaxWait = 60 * time.Second
	// usableFraction is the fraction of the memory that may be allotted; the rest is for the growth of answers.
	usableFraction = 0.9
)

// Engine tracks the cache memory of one engine. It is not safe for concurrent use. Callers use it as follows:
//
//	if e.Admits(workspace, program, prompt, now) {
//		e.CallStarted(workspace, program, prompt)
//	}
type Engine struct {
	// capacity is in tokens; zero means that it is unknown and everything is admitted.
	capacity int64
	programs map[string]cacheUse
}

// cacheUse is the memory used by the cache of one program.
type cacheUse struct {
	workspace string
	tokens    int64
	// running is the number of calls in progress, idleSince the end of the last one.
	running   int
	idleSince time.Time
}

// NewEngine returns the memory of an engine with the given capacity in tokens, zero for unknown.
func NewEngine(capacity int64) *Engine {
	return &Engine{capacity: capacity, programs: make(map[string]cacheUse)}
}

// Admits reports whether a call with a prompt of the given number of tokens fits alongside the running programs.
func (e *Engine) Admits(workspace, program string, prompt int64, now time.Time) bool {
	if e.capacity == 0 {
		return true
	}
	if _, ok := e.programs[program]; ok {
		return true
	}
	var all, own int64
	workspaces := map[string]struct{}{workspace: {}}
	for name, c := range e.programs {
		if c.running == 0 && now.Sub(c.idleSince) > IdleTTL {
			delete(e.programs, name)
			continue
		}
		all += c.tokens
		workspaces[c.workspace] = struct{}{}
		if c.workspace == workspace {
			own += c.tokens
		}
	}
	room := int64(usableFraction * float64(e.capacity))
	return all+prompt <= room || own+prompt <= room/int64(len(workspaces))
}

// CallStarted records the start of a call. If the capacity is unknown, nothing is recorded.
func (e *Engine) CallStarted(workspace, program string, prompt int64) {
	if e.capacity == 0 {
		return
	}
	c := e.programs[program]
	c.workspace, c.tokens, c.running = workspace, max(c.tokens, prompt), c.running+1
	e.programs[program] = c
}

// CallEnded records the end of a call, after which the program's cache holds the given number of tokens.
func (e *Engine) CallEnded(program string, tokens int64, now time.Time) {
	c, ok := e.programs[program]
	if !ok {
		return
	}
	c.running, c.tokens, c.idleSince = c.running-1, max(c.tokens, tokens), now
	e.programs[program] = c
}

// RemoveProgram removes a program that makes no further calls.
func (e *Engine) RemoveProgram(program string) { delete(e.programs, program) }
