package entry

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/tries"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/oasgen"
	"galenaward.example/galenaward/internal/wire/peer"
)

// single is a model call outside of any program. Since it has no history, the entry sends it directly to an engine and
// nothing is written to the log.
type single struct {
	entry *Entry
	req   peer.RunRequest
}

// singleCall checks the call against the workspace's limits of budget and output, and runs it.
func (h *handler) singleCall(
	ctx context.Context, id identity, r *oasgen.ChatRequest,
) (oasgen.ChatCompletionRes, error) {
	if !h.entry.nodes.knowsModel(r.Model) {
		return nil, h.entry.unknownModel(r.Model)
	}
	messages := fromAPI(r.Messages)
	maxOutput, f := h.entry.singleBound(id.Workspace, messages, int64(r.MaxCompletionTokens.Or(r.MaxTokens.Or(0))))
	if f != nil {
		return nil, f
	}
	more, f := h.entry.engineParams(r)
	if f != nil {
		return nil, f
	}
	st := h.entry.store.State()
	branch, _ := st.BranchOf(id.Workspace)
	s := &single{entry: h.entry, req: peer.RunRequest{
		ID: uuid.NewString(), Workspace: id.Workspace, Key: id.Key, SettingsVersion: st.Version, SettingsPeer: h.entry.addr,
		TimeoutMS: st.Duration(branch, conf.CallTimeoutMS).Milliseconds(), Crashes: h.entry.nodes.Crashes(),
		Model: &peer.ModelCall{Name: r.Model, Messages: messages, MaxTokens: maxOutput, Params: more},
	}}
	s.req.Program = s.req.ID
	out, err := h.answerCall(ctx, id, s.req.ID, s, r.Stream.Or(false))
	if err != nil {
		return nil, err
	}
	return out.(oasgen.ChatCompletionRes), nil
}

// singleBound returns the limit of output tokens for the call, as for a program that makes only this call.
func (e *Entry) singleBound(workspace string, messages []prog.Message, asked int64) (int64, *fault.Fault) {
	st := e.store.State()
	branch, _ := st.BranchOf(workspace)
	const id = "single"
	budget := e.budgetFor(workspace, 0)
	open := &prog.Open{Program: id, Workspace: workspace, Budget: budget, Granted: budget}
	tree := prog.Tree{}.Apply(prog.Record{Root: id, Epoch: prog.FirstEpoch, Open: open})
	_, plan, f := prog.NewLiveTree(tree, e.vm).BeginModelCall(
		prog.ModelCall{Program: id, Workspace: workspace, Messages: messages, MaxOutput: asked},
		prog.Limits{MaxTurns: 1, MaxOutput: int64(st.Value(branch, conf.MaxOutputTokens))})
	return plan.MaxOutput, f
}

// run sends the call to the engines and emits the answer.
func (s *single) run(ctx context.Context, emit func(frame.Frame)) {
	to := s.entry.nodes.EngineCandidates(s.req.Model.Name, "")
	if len(to) > 0 {
		s.entry.nodes.RecordSent(to[0].Instance)
	}
	var acc chat.Accumulator
	f := s.entry.dispatcher.Model(ctx, to, s.req, tries.ModelOutput{Accumulator: &acc, Emit: func(data json.RawMessage) {
		emit(frame.Frame{Kind: frame.Chunk, Data: data})
	}})
	if f == nil {
		data, err := json.Marshal(acc.Completion())
		if err == nil {
			emit(frame.Frame{Kind: frame.Done, Data: data})
			return
		}
		f = fault.FromError(err, "encode", s.entry.vm)
	}
	emit(frame.Frame{Kind: frame.Fail, Fault: f})
}
