package entry

import (
	"context"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// GiveOrder appends an order for the engine of a VM to the log. Its offset in the log becomes its fencing token.
func (h *handler) GiveOrder(ctx context.Context, r *oasgen.OrderRequest) (*oasgen.Order, error) {
	o := conf.Order{VM: r.VM, Action: string(r.Action), Subject: r.Subject}
	st, err := h.entry.propose(ctx, conf.Record{Order: &o})
	if err != nil {
		return nil, err
	}
	for _, a := range st.Orders[o.VM] {
		if a.Action == o.Action && a.Subject == o.Subject {
			out := orderOf(a)
			return &out, nil
		}
	}
	return nil, fault.New(fault.Internal, "settings", h.entry.vm, "accepted order for %q is not in the state", o.VM)
}

// ListOrders returns the orders in force for the engine of a VM.
func (h *handler) ListOrders(_ context.Context, p oasgen.ListOrdersParams) (*oasgen.OrderList, error) {
	out := &oasgen.OrderList{Orders: []oasgen.Order{}}
	for _, o := range h.entry.store.State().Orders[p.VM] {
		out.Orders = append(out.Orders, orderOf(o))
	}
	return out, nil
}

func orderOf(o conf.Order) oasgen.Order {
	return oasgen.Order{VM: o.VM, Action: o.Action, Subject: o.Subject, Fence: o.FencingToken}
}
