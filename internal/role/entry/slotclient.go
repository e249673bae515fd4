package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

// errNoHolder means that the holder of a slot is unknown or has no known address.
var errNoHolder = errors.New("slot has no reachable holder")

// slotClient sends requests for loans and for vouching to the holders of slots.
type slotClient struct {
	vm      string
	store   *conf.Store
	list    *peers.VMList
	clients *peers.Clients
}

// Borrow asks the holder of the slot for a loan and reports what was spent of its earlier loans.
func (c *slotClient) Borrow(
	ctx context.Context, slot int64, workspace string, tokens float64, spent []rate.Spend,
) (rate.Loan, error) {
	address, ok := c.holder(slot)
	if !ok {
		return rate.Loan{}, errors.Wrapf(errNoHolder, "slot %d", slot)
	}
	req := &ctlpb.BorrowRequest{Workspace: workspace, Slot: int32(slot), Tokens: tokens, Borrower: c.vm}
	for _, s := range spent {
		req.Spent = append(req.Spent, &ctlpb.Spend{Loan: s.Loan, Tokens: s.Tokens})
	}
	resp, err := c.clients.Entry(address).Borrow(ctx, req)
	if err != nil {
		return rate.Loan{}, errors.Wrapf(err, "borrow from %s", address)
	}
	return rate.Loan{ID: resp.Loan, Tokens: resp.Tokens}, nil
}

// Vouch asks the holder of slot to confirm that instance holds the slot about.
func (c *slotClient) Vouch(ctx context.Context, slot, about int64, instance string) bool {
	resp, err := c.vouch(ctx, slot, &ctlpb.VouchRequest{Slot: int32(about), Holder: instance})
	return err == nil && resp.Vouched
}

// LastVouched returns the time since the holder of slot last vouched for a holder of the slot about.
func (c *slotClient) LastVouched(ctx context.Context, slot, about int64) (time.Duration, error) {
	resp, err := c.vouch(ctx, slot, &ctlpb.VouchRequest{Slot: int32(about)})
	if err != nil {
		return 0, err
	}
	return time.Duration(resp.SinceMs) * time.Millisecond, nil
}

func (c *slotClient) vouch(ctx context.Context, slot int64, q *ctlpb.VouchRequest) (*ctlpb.VouchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peers.ControlTimeout)
	defer cancel()
	address, ok := c.holder(slot)
	if !ok {
		return nil, errors.Wrapf(errNoHolder, "slot %d", slot)
	}
	return c.clients.Entry(address).Vouch(ctx, q)
}

func (c *slotClient) holder(slot int64) (string, bool) {
	s, ok := c.store.State().Slots[slot]
	if !ok {
		return "", false
	}
	for _, v := range c.list.All(peers.RoleEntry) {
		if v.Name == prog.VMOf(s.Holder) {
			return v.Address, true
		}
	}
	return "", false
}
