package entry

import (
	"context"

	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

// control implements the Entry service of the control protocol.
type control struct{ entry *Entry }

// Report handles a sidecar's heartbeat.
func (c control) Report(_ context.Context, r *ctlpb.ReportRequest) (*ctlpb.ReportResponse, error) {
	c.entry.nodes.Report(r)
	c.entry.store.Confirm()
	out := &ctlpb.ReportResponse{SettingsVersion: c.entry.store.State().Version}
	for _, k := range c.entry.nodes.Crashes() {
		out.Crashes = append(out.Crashes, &ctlpb.Crash{Fingerprint: k.Fingerprint, Events: k.CrashIDs})
	}
	if r.SettingsVersion > out.SettingsVersion {
		c.entry.catchUp(c.entry.clients.Sidecar(r.Address))
	}
	return out, nil
}

// Borrow lends a part of this entry's share of a workspace's rate.
func (c control) Borrow(_ context.Context, r *ctlpb.BorrowRequest) (*ctlpb.BorrowResponse, error) {
	spent := make([]rate.Spend, 0, len(r.Spent))
	for _, s := range r.Spent {
		spent = append(spent, rate.Spend{Loan: s.Loan, Tokens: s.Tokens})
	}
	loan := c.entry.limiter.Lend(r.Workspace, int64(r.Slot), r.Tokens, spent)
	return &ctlpb.BorrowResponse{Tokens: loan.Tokens, Loan: loan.ID, LifeMs: rate.LoanTTL.Milliseconds()}, nil
}

// Sync returns the settings if they are newer than the version in the request.
func (c control) Sync(_ context.Context, r *ctlpb.SyncRequest) (*ctlpb.SyncResponse, error) {
	return peers.AnswerSync(r, c.entry.store)
}

// Vouch confirms the holder of a rate slot while the log is unavailable.
func (c control) Vouch(_ context.Context, r *ctlpb.VouchRequest) (*ctlpb.VouchResponse, error) {
	return c.entry.voucher.answer(r), nil
}
