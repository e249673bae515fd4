// Package tries sends a request to a list of candidate upstreams until one answers it. A request that did not run or
// that is idempotent is retried at the next candidate. A model answer that was interrupted is continued there.
package tries

import (
	"context"
	"encoding/json"
	"strconv"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/retry"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

// Runner runs a request on an upstream and passes on the frames of the response in order. Implementations send a
// request that is not idempotent at most once.
type Runner interface {
	Run(ctx context.Context, to peer.Candidate, req peer.RunRequest, emit func(frame.Frame)) *fault.Fault
}

// Dispatcher runs requests with retries that share one budget.
type Dispatcher struct {
	Runner Runner
	Budget *retry.Budget
	// OnRetry is called for each retry.
	OnRetry func()
	// VM is the name of the VM that faults report.
	VM string
}

// ModelOutput configures how the answer to a model call is consumed.
type ModelOutput struct {
	// Accumulator accumulates the chunks. Its text is the prefix from which a retry continues.
	Accumulator *chat.Accumulator
	// Emit receives each chunk as it arrives.
	Emit func(json.RawMessage)
	// MayRetry reports whether the call may be retried after a run that may have used tokens; nil means always.
	MayRetry func() bool
}

// Model runs a model call and adds the chunks of the response to the answer.
func (d *Dispatcher) Model(
	ctx context.Context, to []peer.Candidate, req peer.RunRequest, out ModelOutput,
) *fault.Fault {
	acc := out.Accumulator
	f := d.noUpstream(req.Model.Name)
	ran, used := false, false
	id, model := req.ID, *req.Model
	d.Budget.RecordRequest()
	for i, c := range to {
		if i > 0 && (!d.takeRetry() || (used && out.MayRetry != nil && !out.MayRetry())) {
			break
		}
		used = false
		m := model
		m.Prefix = acc.Content
		req.ID, req.Model = id+"."+strconv.Itoa(i), &m
		f = d.runModel(ctx, c, req, out)
		if f == nil {
			return nil
		}
		used = f.Outcome != fault.NotRun
		ran = ran || used
		req.Crashes = withCrash(req.Crashes, f)
		if !retryableElsewhere(f.Code) || ctx.Err() != nil || len(acc.ToolCalls) > 0 {
			break
		}
	}
	if ran && f.Outcome == fault.NotRun {
		f = f.WithOutcome(fault.Unknown)
	}
	return f
}

// runModel runs the call at one candidate and copies the chunks of the response.
func (d *Dispatcher) runModel(
	ctx context.Context, to peer.Candidate, req peer.RunRequest, out ModelOutput,
) *fault.Fault {
	var last *fault.Fault
	f := d.Runner.Run(ctx, to, req, func(fr frame.Frame) {
		switch fr.Kind {
		case frame.Chunk:
			c, err := chat.ParseChunk(fr.Data)
			if err != nil {
				return
			}
			out.Accumulator.Add(c)
			out.Emit(fr.Data)
		case frame.Fail:
			last = fr.Fault
		}
	})
	if f != nil {
		return f
	}
	return last
}

// Service runs a service call and returns its result. A call that is not idempotent is retried only if it did not run.
func (d *Dispatcher) Service(
	ctx context.Context, to []peer.Candidate, req peer.RunRequest,
) (json.RawMessage, *fault.Fault) {
	f := d.noUpstream(req.Service.Name)
	ran := false
	id := req.ID
	d.Budget.RecordRequest()
	for i, c := range to {
		if i > 0 && !d.takeRetry() {
			break
		}
		req.ID = id + "." + strconv.Itoa(i)
		var data json.RawMessage
		data, f = d.runService(ctx, c, req)
		if f == nil {
			return data, nil
		}
		ran = ran || f.Outcome != fault.NotRun
		req.Crashes = withCrash(req.Crashes, f)
		repeatable := f.Outcome == fault.NotRun || (req.Service.Idempotent && f.Outcome == fault.Unknown)
		if !repeatable || !retryableElsewhere(f.Code) || ctx.Err() != nil {
			break
		}
	}
	if ran && f.Outcome == fault.NotRun {
		f = f.WithOutcome(fault.Unknown)
	}
	return nil, f
}

func (d *Dispatcher) runService(
	ctx context.Context, to peer.Candidate, req peer.RunRequest,
) (json.RawMessage, *fault.Fault) {
	var data json.RawMessage
	var last *fault.Fault
	f := d.Runner.Run(ctx, to, req, func(fr frame.Frame) {
		switch fr.Kind {
		case frame.Done:
			data = fr.Data
		case frame.Fail:
			last = fr.Fault
		}
	})
	if f == nil {
		f = last
	}
	return data, f
}

// withCrash adds the upstream crash that the fault reports, if any, so that the next upstream can treat the request as
// a suspect.
func withCrash(known []peer.CrashRecord, f *fault.Fault) []peer.CrashRecord {
	if f.Crash == nil {
		return known
	}
	return append(known[:len(known):len(known)],
		peer.CrashRecord{Fingerprint: f.Crash.Fingerprint, CrashIDs: []string{f.Crash.ID}})
}

func (d *Dispatcher) takeRetry() bool {
	if !d.Budget.TryRetry() {
		return false
	}
	if d.OnRetry != nil {
		d.OnRetry()
	}
	return true
}

func (d *Dispatcher) noUpstream(name string) *fault.Fault {
	return fault.New(fault.NoUpstream, "route", d.VM, "no live upstream serves %q", name).
		WithRetryAfter(noUpstreamRetryAfter)
}

// retryableElsewhere reports whether a request that failed with the code may succeed at another upstream.
func retryableElsewhere(code fault.Code) bool {
	switch code {
	case fault.Overloaded, fault.NoUpstream, fault.PeerUnreachable, fault.UpstreamFailed, fault.Unready:
		return true
	}
	return false
}
