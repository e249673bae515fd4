package home

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/loop"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

// call is the execution of one call of a program.
type call struct {
	home   *Home
	req    peer.CallRequest
	root   string
	branch string
	buf    *frame.Buffer
	ctx    context.Context
	cancel context.CancelFunc
}

func newCall(ctx context.Context, h *Home, req peer.CallRequest) *call {
	st := h.opts.Store.State()
	branch, _ := st.BranchOf(req.Workspace)
	name := conf.CallTimeoutMS
	if req.Service != nil {
		name = conf.ServiceTimeoutMS
	}
	ctx, cancel := group.WithTimeout(ctx, h.ctx, st.Duration(branch, name))
	root, _, _ := prog.ParseID(req.Program)
	return &call{home: h, req: req, root: root, branch: branch, buf: frame.NewBuffer(), ctx: ctx, cancel: cancel}
}

// run executes the call until its last frame is written.
func (c *call) run() {
	defer c.cancel()
	ctx, span := c.home.opts.Tracer.Start(c.ctx, "home")
	defer span.End()
	c.ctx = ctx
	c.home.opts.Metrics.Add("calls", 1)
	f := c.serve()
	if c.home.ctx.Err() != nil {
		// The process is shutting down. On a broken connection the entry retries at another home; a fault would be
		// final, so none is sent.
		return
	}
	if f != nil {
		c.home.opts.Metrics.Add("calls_failed", 1)
		c.buf.Fail(f)
	}
}

func (c *call) serve() *fault.Fault {
	if c.home.committer.Backlog() > maxBacklog {
		return fault.New(fault.LogUnavailable, stepHome, c.home.opts.VM,
			"%d records are waiting to be appended to the log", c.home.committer.Backlog()).WithRetryAfter(logRetryAfter)
	}
	if _, f := c.home.ensure(c.ctx, c.req.Program, c.req.Location); f != nil {
		return f
	}
	switch {
	case c.req.Model != nil:
		return c.serveModel()
	case c.req.Service != nil && c.req.Service.Idempotent:
		return c.serveIdempotent()
	case c.req.Service != nil:
		return c.serveNonIdempotent()
	}
	return fault.New(fault.InvalidRequest, stepHome, c.home.opts.VM, "call names neither a model nor a service")
}

// timeoutMS returns the time left until the call's deadline, at least 1 ms.
func (c *call) timeoutMS() int64 {
	d, _ := c.ctx.Deadline()
	return max(1, time.Until(d).Milliseconds())
}

func (c *call) newRunRequest(id string) peer.RunRequest {
	return peer.RunRequest{
		ID: id, Program: c.req.Program, Workspace: c.req.Workspace, Key: c.req.Key,
		SettingsVersion: c.req.SettingsVersion, SettingsPeer: c.req.SettingsPeer,
		TimeoutMS: c.timeoutMS(), Crashes: c.req.Crashes,
	}
}

// finish reports the end of the call to the control loop and waits until the loop has handled it.
func (c *call) finish(need, cost int64, records ...prog.Record) {
	done := make(chan struct{})
	if !c.home.loop.Send(finishMsg{c.root, c.req.Program, need, cost, records, done}) {
		return
	}
	select {
	case <-done:
	case <-c.home.ctx.Done():
	}
}

func (c *call) beginService(idempotent bool) (serviceReply, *fault.Fault) {
	s := c.req.Service
	sc := prog.ServiceCall{
		ID: c.req.ID, Program: c.req.Program, Workspace: c.req.Workspace, Service: s.Name,
		Key: c.req.IdempotencyKey, Digest: prog.RequestDigest([]byte(s.Name), s.Body),
	}
	r, err := loop.Ask(c.ctx, c.home.loop, func(reply chan<- serviceReply) msg {
		return serviceMsg{c.root, sc, idempotent, c.cancel, reply}
	})
	if err != nil {
		return r, fault.FromError(err, stepHome, c.home.opts.VM).WithOutcome(fault.NotRun)
	}
	return r, r.fault
}

// serveIdempotent runs a service call that may be repeated; nothing is recorded in the log.
func (c *call) serveIdempotent() *fault.Fault {
	if _, f := c.beginService(true); f != nil {
		return f
	}
	defer c.finish(0, 0)
	data, f := c.dispatchService(c.req.ID)
	if f != nil {
		return f
	}
	c.buf.Done(data)
	return nil
}

// serveNonIdempotent runs a service call that must not be repeated. It commits an intent record, dispatches the call
// once, and records the outcome.
func (c *call) serveNonIdempotent() *fault.Fault {
	r, f := c.beginService(false)
	if f != nil {
		return f
	}
	if old := r.plan.Replay; old != nil {
		return c.replayService(*old)
	}
	intent := prog.Record{Root: c.root, Epoch: r.live.Tree.Epoch, Intent: &r.plan.Intent}
	if f := c.home.commit(c.ctx, intent); f != nil {
		out := c.outcomeRecord(intent, prog.StateNotRun, peer.ServiceResult{})
		c.home.submit(out)
		c.finish(0, 0, intent, out)
		return f
	}
	// A caller that disconnects does not cancel the call, so that its outcome becomes known.
	data, f := c.dispatchService(c.req.ID + "." + strconv.Itoa(r.plan.Intent.Attempt))
	rec := c.resultRecord(intent, data, f)
	// The answer does not depend on this record: if it is lost, a home that takes over reports the outcome as
	// "unknown", which is correct.
	_ = c.home.commitOrHold(context.WithoutCancel(c.ctx), c.req.Standby, rec)
	c.finish(0, 0, rec)
	if f != nil {
		return f
	}
	c.buf.Done(data)
	return nil
}

// resultRecord returns the outcome record for what the dispatched call returned.
func (c *call) resultRecord(intent prog.Record, data json.RawMessage, f *fault.Fault) prog.Record {
	if f == nil {
		var res peer.ServiceResult
		if json.Unmarshal(data, &res) == nil {
			return c.outcomeRecord(intent, prog.StateDone, res)
		}
	}
	if f != nil && f.Outcome == fault.NotRun {
		return c.outcomeRecord(intent, prog.StateNotRun, peer.ServiceResult{})
	}
	return c.outcomeRecord(intent, prog.StateUnknown, peer.ServiceResult{})
}

// outcomeRecord returns the record that completes the intent.
func (c *call) outcomeRecord(intent prog.Record, s prog.CallState, res peer.ServiceResult) prog.Record {
	in := intent.Intent
	out := &prog.Outcome{
		Program: in.Program, Key: in.Key, Attempt: in.Attempt, State: s, Status: res.Status, Body: res.Body,
	}
	return prog.Record{Root: intent.Root, Epoch: intent.Epoch, Outcome: out}
}

func (c *call) replayService(old prog.Call) *fault.Fault {
	data, err := json.Marshal(peer.ServiceResult{Status: old.Status, Body: old.Body, Replayed: true})
	if err != nil {
		return fault.FromError(err, stepHome, c.home.opts.VM)
	}
	c.buf.Done(data)
	return nil
}

func (c *call) dispatchService(id string) (json.RawMessage, *fault.Fault) {
	req := c.newRunRequest(id)
	req.Service = c.req.Service
	return c.home.opts.Dispatcher.Service(c.ctx, c.req.Candidates, req)
}
