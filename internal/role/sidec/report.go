package sidec

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/role/runner"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/peer"
)

// reporter sends heartbeats with the load to the entries and takes crashes and newer settings from their responses.
type reporter struct {
	base     *ctlpb.ReportRequest
	interval time.Duration
	vms      *peers.VMList
	clients  *peers.Clients
	runner   *runner.Runner
	store    *conf.Store
	group    *group.Group
	leaving  func() bool
	// models is nil if the upstream is a plain service.
	models *modelWatcher
	// wake triggers a report before the interval has passed.
	wake chan struct{}
}

// trigger requests a report now and does not block.
func (r *reporter) trigger() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until ctx ends.
func (r *reporter) Run(ctx context.Context) error {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for {
		r.sendAll(ctx)
		select {
		case <-tick.C:
		case <-r.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// sendAll sends one report to each entry without waiting for the responses.
func (r *reporter) sendAll(ctx context.Context) {
	l := r.runner.Load(ctx)
	for _, e := range r.vms.All(peers.RoleEntry) {
		req := r.buildReport(l)
		r.group.Go(func(ctx context.Context) error {
			r.send(ctx, e.Address, req)
			return nil
		})
	}
}

func (r *reporter) buildReport(l runner.Load) *ctlpb.ReportRequest {
	req := &ctlpb.ReportRequest{
		Vm: r.base.Vm, Instance: r.base.Instance, Address: r.base.Address, DataCentre: r.base.DataCentre,
		Service: r.base.Service, Models: r.base.Models, Running: int32(l.Running), Queued: int32(l.Queued),
		Capacity: int32(l.Capacity), Leaving: r.leaving() || l.Leaving || r.vms.Leaving(r.base.Vm),
		UpstreamUp: l.UpstreamUp, SettingsVersion: r.store.State().Version,
	}
	if r.models != nil {
		req.Models = r.models.Models()
	}
	for _, c := range l.Crashes {
		req.Crashes = append(req.Crashes, &ctlpb.Crash{Fingerprint: c.Fingerprint, Events: c.CrashIDs})
	}
	return req
}

func (r *reporter) send(ctx context.Context, address string, req *ctlpb.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, peers.ControlTimeout)
	defer cancel()
	client := r.clients.Entry(address)
	resp, err := client.Report(ctx, req)
	if err != nil {
		return
	}
	r.store.Confirm()
	crashes := make([]peer.CrashRecord, 0, len(resp.Crashes))
	for _, c := range resp.Crashes {
		crashes = append(crashes, peer.CrashRecord{Fingerprint: c.Fingerprint, CrashIDs: c.Events})
	}
	r.runner.AddCrashes(crashes)
	if resp.SettingsVersion > r.store.State().Version {
		_ = peers.FetchSettings(ctx, client, r.store)
	}
}
