package sidec

import (
	"context"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/role/runner"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

// callRunner runs requests on the local upstream or at another sidecar.
type callRunner struct {
	instance      string
	runner        *runner.Runner
	remote        peers.RemoteRunner
	awaitSettings func(ctx context.Context, version int64, from string)
}

// Run sends the request to the candidate and forwards its frames to emit. A model call is cancelled when ctx is done.
func (r *callRunner) Run(
	ctx context.Context, to peer.Candidate, req peer.RunRequest, emit func(frame.Frame),
) *fault.Fault {
	if to.Instance == r.instance {
		return r.local(ctx, req, emit)
	}
	return r.remote.Run(ctx, to, req, emit)
}

func (r *callRunner) local(ctx context.Context, req peer.RunRequest, emit func(frame.Frame)) *fault.Fault {
	r.awaitSettings(ctx, req.SettingsVersion, req.SettingsPeer)
	buf := r.runner.Submit(ctx, req)
	for pos := 0; ; pos++ {
		fr, err := buf.Next(ctx, pos)
		if err != nil {
			if req.Model != nil {
				r.runner.Cancel(req.ID)
			}
			return fault.New(fault.UpstreamTimeout, "relay", r.instance,
				"call was cancelled or timed out before its response: %v", context.Cause(ctx)).WithOutcome(fault.Unknown)
		}
		emit(fr)
		if fr.Last() {
			return nil
		}
	}
}
