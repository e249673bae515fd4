package entry

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/oasgen"
	"galenaward.example/galenaward/internal/wire/peer"
)

// servicesBranch is the prefix of the branches of services in the settings tree.
const servicesBranch = "/services/"

// CallService runs a call of a service, other than a model, as part of a program.
func (h *handler) CallService(
	ctx context.Context, r *oasgen.ServiceCall, p oasgen.CallServiceParams,
) (*oasgen.ServiceAnswer, error) {
	id, err := h.caller(ctx)
	if err != nil {
		return nil, err
	}
	if err := h.checkService(r, p.Service); err != nil {
		return nil, err
	}
	req := h.entry.callRequest(id, p.Program, r.IdempotencyKey.Or(""))
	req.Service = &peer.ServiceCall{Name: p.Service, Body: json.RawMessage(r.Body), Idempotent: r.Idempotent.Or(false)}
	ctx, release := h.entry.openCalls.Track(ctx, id.Key)
	defer release()
	rel, f := h.entry.newRelay(req)
	if f != nil {
		return nil, f
	}
	a, f := h.entry.startCall(ctx, req.ID, rel)
	if f != nil {
		return nil, f
	}
	raw, f := a.readAll()
	if f != nil {
		return nil, f
	}
	return serviceAnswer(raw)
}

func (h *handler) checkService(r *oasgen.ServiceCall, service string) error {
	if !h.entry.nodes.knowsService(service) {
		return fault.New(fault.UnknownService, stepRoute, h.entry.vm, "service %q does not exist", service)
	}
	if !r.Idempotent.Or(false) && !r.IdempotencyKey.IsSet() {
		return fault.New(fault.InvalidRequest, stepDecode, h.entry.vm,
			"field \"idempotency_key\" is missing; a call that is not idempotent needs one")
	}
	return nil
}

func serviceAnswer(raw json.RawMessage) (*oasgen.ServiceAnswer, error) {
	var res peer.ServiceResult
	if err := json.Unmarshal(raw, &res); err != nil {
		return nil, err
	}
	return &oasgen.ServiceAnswer{Status: res.Status, Body: res.Body, Replayed: res.Replayed}, nil
}

// CallOpen runs an idempotent call, without a key, of a service that is open to all.
func (h *handler) CallOpen(
	ctx context.Context, r *oasgen.OpenCall, p oasgen.CallOpenParams,
) (*oasgen.ServiceAnswer, error) {
	st := h.entry.store.State()
	branch := servicesBranch + p.Service
	if conf.CheckBranch(branch) != nil || st.Value(branch, conf.OpenToAll) != 1 {
		return nil, fault.New(fault.UnknownService, stepRoute, h.entry.vm, "service %q is not open to all", p.Service)
	}
	if f := h.entry.limiter.Admit(ctx, openWorkspace); f != nil {
		return nil, f
	}
	req := peer.RunRequest{
		ID: uuid.NewString(), Workspace: openWorkspace, SettingsVersion: st.Version, SettingsPeer: h.entry.addr,
		TimeoutMS: st.Duration(branch, conf.ServiceTimeoutMS).Milliseconds(), Crashes: h.entry.nodes.Crashes(),
		Service: &peer.ServiceCall{Name: p.Service, Body: json.RawMessage(r.Body), Idempotent: true},
	}
	raw, f := h.entry.dispatcher.Service(ctx, h.entry.nodes.ServiceCandidates(p.Service), req)
	if f != nil {
		return nil, f
	}
	return serviceAnswer(raw)
}

// openWorkspace is the workspace to which calls without a key are counted.
const openWorkspace = "open-to-all"
