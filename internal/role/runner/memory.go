package runner

import (
	"time"

	"galenaward.example/galenaward/internal/sched/fairq"
	"galenaward.example/galenaward/internal/sched/kvmem"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/peer"
)

// bytesPerToken is the average length of a token in plain text.
const bytesPerToken = 4

// fitsMemory reports whether the job may start: the engine has memory for it, or it has waited for kvmem.MaxWait.
func (r *Runner) fitsMemory(it fairq.Item[*job]) bool {
	req := it.Value.req
	now := time.Now()
	if req.Model == nil || now.Sub(it.QueuedAt) >= kvmem.MaxWait ||
		r.memory.Admits(req.Workspace, req.Program, it.Value.prompt, now) {
		return true
	}
	if !it.Value.held {
		it.Value.held = true
		r.opts.Metrics.Add("held_for_memory", 1)
	}
	return false
}

// promptTokens estimates the number of prompt tokens of a model call.
func promptTokens(m *peer.ModelCall) int64 {
	n := 0
	for _, m := range m.Messages {
		n += len(m.Content)
	}
	return int64(n / bytesPerToken)
}

// reserveMemory counts the prompt of a model call as engine memory in use.
func (r *Runner) reserveMemory(j *job) {
	if j.req.Model != nil {
		r.memory.CallStarted(j.req.Workspace, j.req.Program, j.prompt)
	}
}

// recordCacheUse records the size of the program's cache after a call. The cache of a call outside any program is never
// used again and counts as free.
func (r *Runner) recordCacheUse(j *job, res result) {
	if j.req.Model == nil {
		return
	}
	r.memory.CallEnded(j.req.Program, res.cost, time.Now())
	if _, _, err := prog.ParseID(j.req.Program); err != nil {
		r.memory.RemoveProgram(j.req.Program)
	}
}
