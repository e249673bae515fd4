package entry

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/wire/oasgen"
	"galenaward.example/galenaward/internal/wire/peer"
)

// CallModel runs the next turn of a program.
func (h *handler) CallModel(
	ctx context.Context, r *oasgen.ModelCall, p oasgen.CallModelParams,
) (oasgen.CallModelRes, error) {
	id, err := h.caller(ctx)
	if err != nil {
		return nil, err
	}
	model, f := h.entry.modelOf(ctx, id, p.Program)
	if f != nil {
		return nil, f
	}
	req := h.entry.callRequest(id, p.Program, r.IdempotencyKey.Or(""))
	req.Turn = r.Turn.Or(0)
	req.Model = &peer.ModelCall{Name: model, Messages: fromAPI(r.Messages), MaxTokens: int64(r.MaxTokens.Or(0))}
	out, err := h.relayModelCall(ctx, id, req, r.Stream.Or(false))
	if err != nil {
		return nil, err
	}
	return out.(oasgen.CallModelRes), nil
}

// ChatCompletion runs a call in the format of the OpenAI chat-completions API.
func (h *handler) ChatCompletion(
	ctx context.Context, r *oasgen.ChatRequest, p oasgen.ChatCompletionParams,
) (oasgen.ChatCompletionRes, error) {
	id, err := h.caller(ctx)
	if err != nil {
		return nil, err
	}
	program := p.GalenawardProgram.Or("")
	if program == "" {
		return h.singleCall(ctx, id, r)
	}
	if err := h.checkModel(ctx, id, program, r.Model); err != nil {
		return nil, err
	}
	more, f := h.entry.engineParams(r)
	if f != nil {
		return nil, f
	}
	req := h.entry.callRequest(id, program, p.GalenawardCall.Or(""))
	req.FullHistory = true
	req.Model = &peer.ModelCall{
		Name: r.Model, Messages: fromAPI(r.Messages), Params: more,
		MaxTokens: int64(r.MaxCompletionTokens.Or(r.MaxTokens.Or(0))),
	}
	out, err := h.relayModelCall(ctx, id, req, r.Stream.Or(false))
	if err != nil {
		return nil, err
	}
	return out.(oasgen.ChatCompletionRes), nil
}

func (h *handler) checkModel(ctx context.Context, id identity, program, model string) error {
	own, f := h.entry.modelOf(ctx, id, program)
	if f != nil {
		return f
	}
	if own != model {
		return fault.New(fault.InvalidRequest, stepRoute, h.entry.vm,
			"model %q is not the model %q of program %q", model, own, program)
	}
	return nil
}

// engineParams returns the caller's additional fields, which are passed to the engine. Fields that galenaward sets
// itself are refused, and so are those that would bypass the order between workspaces or the budget, or that give
// access to the cache of another program.
func (e *Entry) engineParams(r *oasgen.ChatRequest) (map[string]json.RawMessage, *fault.Fault) {
	out := make(map[string]json.RawMessage, len(r.AdditionalProps))
	for k, v := range r.AdditionalProps {
		switch {
		case k == "stream_options", k == "n" && string(v) == "1":
		case slices.Contains(reservedParams, k):
			return nil, fault.New(fault.InvalidRequest, stepRoute, e.vm, "field %q with value %s cannot be set by callers", k, v)
		default:
			out[k] = json.RawMessage(v)
		}
	}
	return out, nil
}

// reservedParams are engine parameters that callers may not set.
var reservedParams = []string{
	"n", "best_of", "use_beam_search", "priority", "continue_final_message", "kv_transfer_params",
}

// callRequest returns a call request. It always has an idempotency key, so that it can be repeated at another home.
func (e *Entry) callRequest(id identity, program, key string) peer.CallRequest {
	req := peer.CallRequest{
		ID: uuid.NewString(), Program: program, Workspace: id.Workspace, Key: id.Key, IdempotencyKey: key,
	}
	if key == "" {
		req.IdempotencyKey = req.ID
	}
	return req
}

// relayModelCall runs the call at its program's home and returns its answer, complete or as a stream.
func (h *handler) relayModelCall(ctx context.Context, id identity, req peer.CallRequest, stream bool) (any, error) {
	r, f := h.entry.newRelay(req)
	if f != nil {
		return nil, f
	}
	return h.answerCall(ctx, id, req.ID, r, stream)
}

// answerCall starts the call and returns its answer, complete or as a stream.
func (h *handler) answerCall(
	ctx context.Context, id identity, call string, from frameSource, stream bool,
) (any, error) {
	ctx, release := h.entry.openCalls.Track(ctx, id.Key)
	context.AfterFunc(ctx, release)
	a, f := h.entry.startCall(ctx, call, from)
	if f != nil {
		return nil, f
	}
	if stream {
		return &oasgen.CompletionTextEventStream{Data: &eventReader{answer: a}}, nil
	}
	raw, f := a.readAll()
	if f != nil {
		return nil, f
	}
	return completionOf(raw)
}

// modelOf returns the model of the program, from the cache or from the program's home.
func (e *Entry) modelOf(ctx context.Context, id identity, program string) (string, *fault.Fault) {
	if m, ok := e.models.Get(program); ok && m.workspace == id.Workspace {
		return m.model, nil
	}
	v, f := e.describe(ctx, program, id)
	if f != nil {
		return "", f
	}
	e.models.Add(program, programModel{workspace: v.Program.Workspace, model: v.Program.Model})
	return v.Program.Model, nil
}

// programModel is what an entry caches of a program. It never changes, so it needs no invalidation.
type programModel struct{ workspace, model string }
