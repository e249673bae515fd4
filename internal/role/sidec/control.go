package sidec

import (
	"context"
	"encoding/json"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/home"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/peer"
)

// control serves the Sidecar control service.
type control struct {
	vm    string
	home  *home.Home
	store *conf.Store
	ready func() bool
}

// Open creates a program whose home is this sidecar.
func (c *control) Open(ctx context.Context, r *ctlpb.OpenRequest) (*ctlpb.ProgramResponse, error) {
	if !c.ready() && r.Parent == "" {
		return nil, fault.ToTwirp(fault.New(fault.Unready, "open", c.vm, "sidecar is stopping"), "open", c.vm)
	}
	v, f := c.home.Open(ctx, peer.OpenRequest{
		Program: r.Program, Workspace: r.Workspace, Model: r.Model, Parent: r.Parent, Budget: r.BudgetTokens,
	}, peer.Location{Suspect: r.Suspect, EarlierStandbys: r.EarlierStandbys, Standby: r.Standby})
	return c.programResponse(v, f)
}

// Describe returns a program.
func (c *control) Describe(ctx context.Context, r *ctlpb.ProgramRequest) (*ctlpb.ProgramResponse, error) {
	v, f := c.home.Describe(ctx, r.Program, r.Workspace, r.Suspect)
	return c.programResponse(v, f)
}

// End ends a program and its sub-agents.
func (c *control) End(ctx context.Context, r *ctlpb.ProgramRequest) (*ctlpb.ProgramResponse, error) {
	v, f := c.home.End(ctx, r.Program, r.Workspace, peer.Location{
		Suspect: r.Suspect, EarlierStandbys: r.EarlierStandbys, Standby: r.Standby,
	})
	return c.programResponse(v, f)
}

// Hold stores records of a program that are not in the log yet.
func (c *control) Hold(ctx context.Context, r *ctlpb.HoldRequest) (*ctlpb.HoldResponse, error) {
	var recs []prog.Record
	if err := json.Unmarshal(r.Records, &recs); err != nil {
		return nil, fault.ToTwirp(fault.New(fault.InvalidRequest, "hold", c.vm, "%s", err), "hold", c.vm)
	}
	if err := c.home.HoldRecords(ctx, r.Program, r.Epoch, recs); err != nil {
		return nil, fault.ToTwirp(err, "hold", c.vm)
	}
	return &ctlpb.HoldResponse{Held: true}, nil
}

// Flush appends the records held for a program to the log.
func (c *control) Flush(ctx context.Context, r *ctlpb.FlushRequest) (*ctlpb.FlushResponse, error) {
	if f := c.home.FlushRecords(ctx, r.Program); f != nil {
		return nil, fault.ToTwirp(f, "flush", c.vm)
	}
	return &ctlpb.FlushResponse{}, nil
}

// Sync returns the settings if they are newer than the version in the request.
func (c *control) Sync(_ context.Context, r *ctlpb.SyncRequest) (*ctlpb.SyncResponse, error) {
	return peers.AnswerSync(r, c.store)
}

func (c *control) programResponse(v peer.ProgramView, f *fault.Fault) (*ctlpb.ProgramResponse, error) {
	if f != nil {
		return nil, fault.ToTwirp(f, f.Step, c.vm)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.ToTwirp(err, "encode", c.vm)
	}
	return &ctlpb.ProgramResponse{Program: b}, nil
}

// standbyClient replicates records of a program to the program's standby.
type standbyClient struct{ clients *peers.Clients }

// Hold stores the records at the standby.
func (c standbyClient) Hold(ctx context.Context, standby, root string, epoch int64, records []prog.Record) error {
	b, err := json.Marshal(records)
	if err != nil {
		return err
	}
	_, err = c.clients.Sidecar(standby).Hold(ctx, &ctlpb.HoldRequest{Program: root, Epoch: epoch, Records: b})
	if err != nil {
		return fault.FromTwirp(err, "hold", standby, fault.Unknown)
	}
	return nil
}

// Flush makes the standby append the records that it holds to the log.
func (c standbyClient) Flush(ctx context.Context, standby, root string) error {
	_, err := c.clients.Sidecar(standby).Flush(ctx, &ctlpb.FlushRequest{Program: root})
	if err != nil {
		return fault.FromTwirp(err, "flush", standby, fault.Unknown)
	}
	return nil
}
