package runner

import (
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/sched/fairq"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/peer"
)

const stepAdmit = "admit"

// admit queues a job or ends it at once with a fault.
func (r *Runner) admit(j *job) {
	r.addCrashes(j.req.Crashes)
	if f := r.admissionFault(j); f != nil {
		r.finish(j, f)
		return
	}
	st := r.opts.Store.State()
	branch, _ := st.BranchOf(j.req.Workspace)
	j.suspect = r.suspects.Verdict(j.fingerprint, time.Now()) == crash.Suspect
	j.item = fairq.Item[*job]{
		ID: j.req.ID, Workspace: j.req.Workspace, Program: j.req.Program, Weight: st.Value(branch, conf.Weight),
		TokensServed: j.req.TokensUsed, Cost: expectedCost(j.req), QueuedAt: time.Now(), Value: j,
	}
	r.queue.Push(j.item)
}

// expectedCost estimates in tokens what the request will use: a model call up to its limit, a service call one.
func expectedCost(req peer.RunRequest) int64 {
	if req.Model == nil {
		return 1
	}
	return max(1, req.Model.MaxTokens)
}

// admissionFault returns why the job cannot be accepted now, or nil.
func (r *Runner) admissionFault(j *job) *fault.Fault {
	st := r.opts.Store.State()
	switch {
	case j.req.Key != "" && !st.KeyActive(j.req.Key, j.req.Workspace):
		return fault.New(fault.KeyWithdrawn, stepAdmit, r.opts.VM,
			"key %q is not valid for workspace %q", j.req.Key, j.req.Workspace)
	case r.suspects.Verdict(j.fingerprint, time.Now()) == crash.Quarantined:
		return fault.New(fault.RequestQuarantined, stepAdmit, r.opts.VM,
			"request crashed %d upstreams and will not be run again", crash.DefaultLimit)
	case r.leaving:
		return fault.New(fault.Unready, stepAdmit, r.opts.VM, "upstream is shutting down")
	case !r.up:
		return fault.New(fault.NoUpstream, stepAdmit, r.opts.VM,
			"upstream does not respond to health probes").WithRetryAfter(probeInterval)
	case r.queue.Len() >= r.opts.QueueLimit+max(0, r.opts.Capacity-len(r.running)):
		return fault.New(fault.Overloaded, stepAdmit, r.opts.VM,
			"queue is full with %d requests", r.queue.Len()).WithRetryAfter(time.Second)
	}
	return nil
}
