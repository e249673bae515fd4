package opcmd

import (
	"context"
	"fmt"
	"io"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// Order returns the commands that manage orders to engines.
func Order() *parse.Command {
	return &parse.Command{
		Name: "order", Help: "order engines to load models, adapters and versions, or to change role",
		Subcommands: []*parse.Command{orderGive(), orderList()},
	}
}

func orderGive() *parse.Command {
	f, vm, action, subject := &clientFlags{}, "", "", ""
	return &parse.Command{
		Name: "give", Help: "give an order to the engine of a VM", Flags: f.flags,
		Arguments: []parse.Argument{
			{Name: "VM", Help: "machine of the engine", Value: &vm},
			{Name: "ACTION", Help: "load_model, unload_model, load_adapter, unload_adapter, set_version or set_role", Value: &action},
			{Name: "SUBJECT", Help: "model, adapter, version or role", Value: &subject},
		},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Order, error) {
				return c.GiveOrder(ctx, &oasgen.OrderRequest{VM: vm, Action: oasgen.OrderRequestAction(action), Subject: subject})
			}, printOrder)
		},
	}
}

func printOrder(out io.Writer, o *oasgen.Order) {
	fmt.Fprintf(out, "order %d for %s: %s %s\n", o.Fence, o.VM, o.Action, o.Subject)
}

func orderList() *parse.Command {
	f, vm := &clientFlags{}, ""
	return &parse.Command{
		Name: "list", Help: "list the orders in force for the engine of a VM", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "VM", Help: "machine of the engine", Value: &vm}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.OrderList, error) {
				return c.ListOrders(ctx, oasgen.ListOrdersParams{VM: vm})
			}, func(out io.Writer, l *oasgen.OrderList) {
				for i := range l.Orders {
					printOrder(out, &l.Orders[i])
				}
			})
		},
	}
}
