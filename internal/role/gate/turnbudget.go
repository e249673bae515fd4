package gate

import (
	"context"

	"galenaward.example/galenaward/internal/role/owner"
)

// turnBudget is what a running turn may use of its program's budget.
type turnBudget interface {
	// await returns once tokens may be sent to the caller.
	await(ctx context.Context) error
	// end must be called once, with the number of tokens that were sent, unless finish records the turn.
	end(tokens int64)
}

// homeBudget is a reservation in a partition that this process holds.
type homeBudget struct {
	partition   *owner.Partition
	reservation owner.AdmittedTurn
}

func (b *homeBudget) await(ctx context.Context) error {
	return b.partition.Await(ctx, b.reservation.Ticket)
}

func (b *homeBudget) end(tokens int64) { b.partition.Abort(b.reservation, tokens) }
