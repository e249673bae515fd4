package entry

import (
	"context"
	"encoding/json"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/oasgen"
	"galenaward.example/galenaward/internal/wire/peer"
)

const programTimeout = 10 * time.Second

// CreateProgram creates a program, or a sub-agent of the program named as parent.
func (h *handler) CreateProgram(ctx context.Context, r *oasgen.ProgramRequest) (*oasgen.Program, error) {
	id, err := h.caller(ctx)
	if err != nil {
		return nil, err
	}
	v, f := h.entry.createProgram(ctx, id, r.Model, r.BudgetTokens.Or(0), r.Parent.Or(""))
	if f != nil {
		return nil, f
	}
	return programOf(v, false), nil
}

// createProgram opens a root program at a new home, or a sub-agent at the home of its parent.
func (e *Entry) createProgram(
	ctx context.Context, id identity, model string, budget int64, parent string,
) (peer.ProgramView, *fault.Fault) {
	if !e.nodes.knowsModel(model) {
		return peer.ProgramView{}, e.unknownModel(model)
	}
	req := &ctlpb.OpenRequest{Workspace: id.Workspace, Key: id.Key, Model: model, Parent: parent}
	req.BudgetTokens = e.budgetFor(id.Workspace, budget)
	if parent != "" {
		return e.callHome(ctx, parent, func(ctx context.Context, t homeTarget) (*ctlpb.ProgramResponse, error) {
			req.Suspect, req.EarlierStandbys, req.Standby =
				t.location.Suspect, t.location.EarlierStandbys, t.location.Standby
			return e.clients.SidecarInstance(t.node.Address, t.node.Instance).Open(ctx, req)
		})
	}
	return e.openRoot(ctx, req)
}

// unknownModel returns the fault for a model that no engine has reported. Shortly after the start of the entry the
// model's engines may not have reported yet, so the caller is told to retry.
func (e *Entry) unknownModel(model string) *fault.Fault {
	if time.Since(e.nodes.started) < e.nodes.members.Load().TTL {
		return fault.New(fault.NoUpstream, stepRoute, e.vm,
			"no engine has reported model %q yet", model).WithRetryAfter(retryNoHome)
	}
	return fault.New(fault.UnknownModel, stepRoute, e.vm, "no engine serves model %q", model)
}

// budgetFor returns the budget asked for, limited by the workspace's setting. Zero asks for that limit.
func (e *Entry) budgetFor(workspace string, asked int64) int64 {
	st := e.store.State()
	branch, _ := st.BranchOf(workspace)
	limit := int64(st.Value(branch, conf.BudgetTokens))
	if asked == 0 {
		return limit
	}
	return min(asked, limit)
}

// openRoot tries homes until one accepts the program. An attempt without an answer may leave behind an empty program,
// which costs nothing.
func (e *Entry) openRoot(ctx context.Context, req *ctlpb.OpenRequest) (peer.ProgramView, *fault.Fault) {
	ctx, cancel := context.WithTimeout(ctx, programTimeout)
	defer cancel()
	f := fault.New(fault.NoUpstream, stepRoute, e.vm,
		"no live engine serves model %q", req.Model).WithRetryAfter(retryNoHome)
	for i := 0; i < maxHomeAttempts && ctx.Err() == nil; i++ {
		node, ok := e.nodes.NewHome(req.Model)
		if !ok {
			return peer.ProgramView{}, f
		}
		e.nodes.RecordSent(node.Instance)
		req.Program = prog.NewRootID(node.Instance)
		req.Standby = e.nodes.Standby(req.Program, node).Address
		var resp *ctlpb.ProgramResponse
		resp, f = askHome(ctx, homeTarget{node: node}, fault.NotRun,
			func(ctx context.Context, t homeTarget) (*ctlpb.ProgramResponse, error) {
				return e.clients.SidecarInstance(t.node.Address, t.node.Instance).Open(ctx, req)
			})
		if f == nil {
			return decodeView(resp)
		}
		if !isRetryable(f.Code) {
			return peer.ProgramView{}, f
		}
		e.nodes.Suspect(node.Instance)
	}
	return peer.ProgramView{}, f
}

// callHome sends a request to the program's home, and to its new home if the program has moved.
func (e *Entry) callHome(
	ctx context.Context, program string, ask func(context.Context, homeTarget) (*ctlpb.ProgramResponse, error),
) (peer.ProgramView, *fault.Fault) {
	ctx, cancel := context.WithTimeout(ctx, programTimeout)
	defer cancel()
	root, first, err := prog.ParseID(program)
	if err != nil {
		return peer.ProgramView{}, fault.New(fault.UnknownProgram, stepRoute, e.vm, "%s", err)
	}
	f := fault.New(fault.NoUpstream, stepRoute, e.vm, "no sidecar can take program %q", root).WithRetryAfter(retryNoHome)
	for range homeAttempts(ctx) {
		t, ok := e.locate(ctx, root, first)
		if !ok {
			continue
		}
		var resp *ctlpb.ProgramResponse
		resp, f = askHome(ctx, t, fault.Unknown, ask)
		if f == nil {
			return e.viewOf(root, resp)
		}
		if !isRetryable(f.Code) {
			break
		}
		e.recordFailure(root, t, f)
	}
	return peer.ProgramView{}, f
}

// recordFailure updates the known holder of the program, or the state of the sidecar, after the sidecar did not answer
// for the program. A sidecar that timed out is not suspected here: it counts as dead only once its reports stop too.
func (e *Entry) recordFailure(root string, t homeTarget, f *fault.Fault) {
	switch f.Code {
	case fault.ProgramMoved, fault.Unready:
		e.recordHolder(root, t, f)
	case fault.PeerUnreachable:
		e.nodes.Suspect(t.node.Instance)
	}
}

// ReadProgram returns the program with its history.
func (h *handler) ReadProgram(ctx context.Context, p oasgen.ReadProgramParams) (*oasgen.Program, error) {
	id, err := h.caller(ctx)
	if err != nil {
		return nil, err
	}
	v, f := h.entry.describe(ctx, p.Program, id)
	if f != nil {
		return nil, f
	}
	return programOf(v, true), nil
}

// describe reads the program at its home. Since that changes nothing, faults of the connection have outcome NotRun.
func (e *Entry) describe(ctx context.Context, program string, id identity) (peer.ProgramView, *fault.Fault) {
	v, f := e.callHome(ctx, program, func(ctx context.Context, t homeTarget) (*ctlpb.ProgramResponse, error) {
		return e.clients.SidecarInstance(t.node.Address, t.node.Instance).Describe(ctx, e.programRequest(program, id, t))
	})
	if f != nil && (f.Code == fault.PeerUnreachable || f.Code == fault.UpstreamTimeout) {
		f = f.WithOutcome(fault.NotRun).WithRetryAfter(retryUnreached)
	}
	return v, f
}

// EndProgram ends the program and its sub-agents.
func (h *handler) EndProgram(ctx context.Context, p oasgen.EndProgramParams) (*oasgen.Program, error) {
	id, err := h.caller(ctx)
	if err != nil {
		return nil, err
	}
	v, f := h.entry.endProgram(ctx, id, p.Program)
	if f != nil {
		return nil, f
	}
	return programOf(v, false), nil
}

func (e *Entry) endProgram(ctx context.Context, id identity, program string) (peer.ProgramView, *fault.Fault) {
	return e.callHome(ctx, program, func(ctx context.Context, t homeTarget) (*ctlpb.ProgramResponse, error) {
		return e.clients.SidecarInstance(t.node.Address, t.node.Instance).End(ctx, e.programRequest(program, id, t))
	})
}

func (e *Entry) programRequest(program string, id identity, t homeTarget) *ctlpb.ProgramRequest {
	return &ctlpb.ProgramRequest{
		Program: program, Workspace: id.Workspace, Key: id.Key,
		Suspect: t.location.Suspect, EarlierStandbys: t.location.EarlierStandbys, Standby: t.location.Standby,
	}
}

// viewOf decodes an answer and caches the holder of the program.
func (e *Entry) viewOf(root string, resp *ctlpb.ProgramResponse) (peer.ProgramView, *fault.Fault) {
	v, f := decodeView(resp)
	if f == nil {
		e.nodes.SetHolder(root, v.Holder)
	}
	return v, f
}

// decodeView decodes an answer of a home. An invalid answer is an internal error.
func decodeView(resp *ctlpb.ProgramResponse) (peer.ProgramView, *fault.Fault) {
	var v peer.ProgramView
	if err := json.Unmarshal(resp.Program, &v); err != nil {
		return v, fault.New(fault.Internal, "decode", peers.BaseURL(""), "%s", err).WithOutcome(fault.Unknown)
	}
	return v, nil
}

func programOf(v peer.ProgramView, history bool) *oasgen.Program {
	p := v.Program
	out := &oasgen.Program{
		Program: p.ID, Workspace: p.Workspace, Model: p.Model, State: oasgen.ProgramStateOpen, Turns: p.Turns,
		BudgetTokens: v.Budget, SpentTokens: v.Spent, HistoryDigest: p.Digest,
	}
	if p.Ended {
		out.State = oasgen.ProgramStateEnded
	}
	if p.Parent != "" {
		out.Parent = oasgen.NewOptString(p.Parent)
	}
	if history {
		out.History = make([]oasgen.Message, 0, len(p.History))
		for _, m := range p.History {
			out.History = append(out.History, toAPI(m))
		}
	}
	return out
}
