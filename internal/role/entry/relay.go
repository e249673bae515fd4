package entry

import (
	"context"
	"strconv"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

const (
	stepRoute      = "route"
	retryNoHome    = time.Second
	retryUnreached = 500 * time.Millisecond
)

// relay sends one call to the home of its program, and to its new home if the program has moved.
type relay struct {
	entry     *Entry
	req       peer.CallRequest
	root      string
	firstHome string
	// partial is the part of a model's answer that was sent to the caller.
	partial chat.Accumulator
	last    *fault.Fault
	// homes is the number of sidecars tried. Each try gets a stream id of its own, so that it does not join the stream
	// of an earlier refusal.
	homes int
	// mayHaveRun is set if an earlier home may have run the call.
	mayHaveRun bool
}

// newRelay returns a relay, or a fault if the program id is malformed.
func (e *Entry) newRelay(req peer.CallRequest) (*relay, *fault.Fault) {
	root, home, err := prog.ParseID(req.Program)
	if err != nil {
		return nil, fault.New(fault.UnknownProgram, stepRoute, e.vm, "%s", err)
	}
	return &relay{entry: e, req: req, root: root, firstHome: home}, nil
}

// run calls emit for each frame of the answer, of which the last is Done or Fail.
func (r *relay) run(ctx context.Context, emit func(frame.Frame)) {
	for range homeAttempts(ctx) {
		f, done := r.tryHome(ctx, emit)
		if done {
			return
		}
		r.last = f
	}
	emit(frame.Frame{Kind: frame.Fail, Fault: r.finalFault(ctx)})
}

// finalFault returns the fault for a call that no home answered.
func (r *relay) finalFault(ctx context.Context) *fault.Fault {
	f := r.last
	if f == nil {
		f = fault.New(fault.UpstreamTimeout, stepRoute, r.entry.vm,
			"the call ended before an answer arrived: %v", context.Cause(ctx))
	}
	return r.correctOutcome(f)
}

// correctOutcome changes outcome NotRun of the fault to Unknown if an earlier home may have run the call.
func (r *relay) correctOutcome(f *fault.Fault) *fault.Fault {
	if r.mayHaveRun && f.Outcome == fault.NotRun {
		return f.WithOutcome(fault.Unknown)
	}
	return f
}

// tryHome sends the call to one sidecar. It returns false if the call may be sent to another one.
func (r *relay) tryHome(ctx context.Context, emit func(frame.Frame)) (*fault.Fault, bool) {
	t, ok := r.entry.locate(ctx, r.root, r.firstHome)
	if !ok {
		return fault.New(fault.NoUpstream, stepRoute, r.entry.vm,
			"no sidecar can take program %q", r.root).WithRetryAfter(retryNoHome), false
	}
	req := r.requestFor(t)
	if len(req.Candidates) > 0 {
		r.entry.nodes.RecordSent(req.Candidates[0].Instance)
	}
	var refusal *fault.Fault
	f := r.entry.fetcher.Fetch(ctx, frame.Request{
		BaseURL: peers.BaseURL(t.node.Address), Path: peer.CallsPath, ID: req.ID,
		Instance: t.node.Instance, Peer: t.node.VM, Body: req,
		PeerEnded: func() bool { return r.entry.isSilent(t.node.Instance) },
	}, func(fr frame.Frame) {
		if fr.Kind == frame.Fail && r.isRedirect(fr.Fault) {
			refusal = fr.Fault
			return
		}
		r.forward(fr, t.node.Instance, emit)
	})
	if ctx.Err() != nil && r.req.Model != nil {
		peers.CancelStream(r.entry.clients.HTTP(), t.node.Address, peer.CallsPath, req.ID)
	}
	if f != nil && len(r.partial.ToolCalls) > 0 {
		// Another home cannot continue a tool call of which a part was sent.
		emit(frame.Frame{Kind: frame.Fail, Fault: f})
		return f, true
	}
	return r.handleResult(t, f, refusal)
}

// handleResult records the result of a try. It returns false if the call is to be sent to another sidecar.
func (r *relay) handleResult(t homeTarget, f, refusal *fault.Fault) (*fault.Fault, bool) {
	switch {
	case f == nil && refusal == nil:
		return nil, true
	case refusal != nil:
		r.entry.recordHolder(r.root, t, refusal)
		return refusal, false
	}
	if f.Outcome != fault.NotRun {
		r.mayHaveRun = true
	}
	r.entry.metrics.Add("homes_unreachable", 1)
	r.entry.nodes.Suspect(t.node.Instance)
	telem.Warn(r.entry.logger, "home_unreachable", "program", r.root, "instance", t.node.Instance, "err", f)
	return f.WithRetryAfter(retryUnreached), false
}

// recordHolder caches the holder that the fault names. If that is the instance to which the request was addressed,
// another process has replaced the instance at its address, so the instance is suspected.
func (e *Entry) recordHolder(root string, t homeTarget, f *fault.Fault) {
	switch f.Holder {
	case "":
	case t.node.Instance:
		e.nodes.Suspect(t.node.Instance)
	default:
		e.nodes.SetHolder(root, f.Holder)
	}
}

// isRedirect reports whether the sidecar refused the call so that it is to be sent to another one.
func (r *relay) isRedirect(f *fault.Fault) bool {
	return (f.Code == fault.ProgramMoved || f.Code == fault.Unready) && f.Outcome == fault.NotRun
}

// forward emits a frame and adds it to the partial answer, so that another home can continue from there.
func (r *relay) forward(fr frame.Frame, holder string, emit func(frame.Frame)) {
	if fr.Kind == frame.Chunk {
		if c, err := chat.ParseChunk(fr.Data); err == nil {
			r.partial.Add(c)
		}
	}
	if fr.Kind == frame.Fail {
		fr.Fault = r.correctOutcome(fr.Fault)
	} else {
		r.entry.nodes.SetHolder(r.root, holder)
	}
	emit(fr)
}

func (r *relay) requestFor(t homeTarget) peer.CallRequest {
	req := r.req
	r.homes++
	req.ID += "." + strconv.Itoa(r.homes)
	req.Location = t.location
	req.SettingsVersion = r.entry.store.State().Version
	req.SettingsPeer = r.entry.addr
	req.Crashes = r.entry.nodes.Crashes()
	switch {
	case req.Model != nil:
		m := *req.Model
		m.Prefix = r.partial.Content
		req.Model = &m
		req.Candidates = r.entry.nodes.EngineCandidates(m.Name, t.node.VM)
	case req.Service != nil:
		req.Candidates = r.entry.nodes.ServiceCandidates(req.Service.Name)
	}
	return req
}
