package gate

import (
	"io"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/serve"
)

const (
	// freeAnswerBytes is the part of an answer that is held without a reservation. Ordinary answers are smaller.
	freeAnswerBytes = 8 << 10
	// answerCost is the memory that a byte of an answer takes while it arrives: its frame, the data of its event, and what
	// their buffers grow ahead. endedCost is that of a byte of an answer that has ended and can still be read: its frame.
	answerCost, endedCost = 4, 2
	// answerStep is the number of bytes that are reserved at once.
	answerStep = 16 << 10
)

// ErrAnswerMemory means that there is no memory to hold more of an answer.
var ErrAnswerMemory = errors.New("no memory for the answer")

// HeldAnswer reserves the memory of one answer from the budget for all. It is used by one goroutine at a time.
type HeldAnswer struct {
	budget *serve.Budget
	// size is the number of bytes held, covered how many of them are free or reserved. reserved is the memory in the budget.
	size, covered, reserved int64
}

// HoldAnswer returns an empty answer, for which Release must be called.
func (g *Gateway) HoldAnswer() *HeldAnswer {
	return &HeldAnswer{budget: g.answerBudget, covered: freeAnswerBytes}
}

// Add adds n bytes that are held until Release. It returns ErrAnswerMemory if there is no room for them.
func (a *HeldAnswer) Add(n int) error {
	if a.size += int64(n); a.size <= a.covered {
		return nil
	}
	more := (a.size - a.covered + answerStep - 1) / answerStep * answerStep
	if !a.budget.TryReserve(more*answerCost, a.reserved) {
		return errors.Wrapf(ErrAnswerMemory, "after %d bytes", a.size)
	}
	a.covered += more
	a.reserved += more * answerCost
	return nil
}

// End gives the memory back that only an arriving answer takes.
func (a *HeldAnswer) End() {
	spare := a.reserved - a.reserved/answerCost*endedCost
	a.reserved -= spare
	a.budget.Release(spare)
}

// Release gives the memory back.
func (a *HeldAnswer) Release() {
	a.budget.Release(a.reserved)
	a.size, a.covered, a.reserved = 0, freeAnswerBytes, 0
}

// readAnswer reads an answer up to maxBufferedAnswer, or up to the part for which there is memory. Whole says that the answer
// was read to its end.
func readAnswer(r io.Reader, held *HeldAnswer) (b []byte, whole bool, err error) {
	for limit := freeAnswerBytes; ; limit = min(2*limit, maxBufferedAnswer) {
		if held.Add(limit-len(b)) != nil {
			return b, false, nil
		}
		part, err := io.ReadAll(io.LimitReader(r, int64(limit-len(b))))
		b = append(b, part...)
		if err != nil || len(b) < limit {
			return b, err == nil, err
		}
		if limit == maxBufferedAnswer {
			return b, false, nil
		}
	}
}
