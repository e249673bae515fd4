package gate

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/sched/admit"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/events"
)

const (
	// detachedPart is the part of a caller's time after which it may come back while the store takes no appends.
	// Outages last for seconds, and callers wait for up to a third of the time that they have left.
	detachedPart = 0.32
	// warmBonus is the requests per slot by which another engine must be less loaded to run a turn whose cache stands
	// elsewhere.
	warmBonus = 1.2
	// chainTimeout bounds the search for a chain in other partitions.
	chainTimeout = 500 * time.Millisecond
)

// turnRun is a turn at its home.
type turnRun struct {
	*turnRequest
	gate  *Gate
	part  *owner.Partition
	begun owner.Begun
	out   sink
	// scan reads the events that were passed on.
	scan events.Scanner
	// torn holds the start of an event of a stream that may go on at another engine.
	torn []byte
	// headed says that the head of the answer was passed on.
	headed bool
	// underWay says that the program had begun before this turn.
	underWay bool
}

// runTurn runs a turn of a program whose partition this process holds.
func (g *Gate) runTurn(ctx context.Context, q *turnRequest, out sink) *fault.Fault {
	p, ok := g.owner.Held(q.Partition)
	if !ok {
		return g.refuse(fault.Moved, "home", "partition %d is not held here", q.Partition)
	}
	deadline, _ := ctx.Deadline()
	a := q.attempts(deadline)
	if f := g.quarantine(a.job); f != nil {
		return f
	}
	t := &turnRun{turnRequest: q, gate: g, part: p, out: out}
	if f := t.begin(ctx); f != nil {
		return f
	}
	w, _ := g.layout.Load().Workspace(q.Workspace)
	began := false
	f := g.paid(ctx, w, func() *fault.Fault {
		began = true
		return t.run(ctx, a)
	})
	if !began {
		t.part.End(t.begun, 0)
	}
	return f
}

// run sends the turn to engines until one has answered it.
func (t *turnRun) run(ctx context.Context, a *attempts) *fault.Fault {
	g, q := t.gate, t.turnRequest
	if q.Resumable {
		a.resumeAfter = q.Call.Turn.ResumeAfter
	}
	prompt := turns.Prompt(t.begun.Chain, q.Call.Body)
	warm := g.warmEngine(q)
	for a.more() && ctx.Err() == nil {
		u, ok := g.pick(a, warm, warmBonus)
		if !ok {
			break
		}
		ans, ok := g.exchange(ctx, a, u, prompt, t.urgency())
		if ok {
			again, f := t.stream(ctx, a, u, ans)
			if !again {
				return f
			}
			g.metrics.Add("streams_resumed", 1)
		}
		if a.ran && !a.repeatable() {
			break
		}
	}
	t.part.End(t.begun, t.tokens())
	return g.giveUp(ctx, a)
}

// warmEngine returns the engine that is known to hold most of the turn's prompt; empty if none is.
func (g *Gate) warmEngine(q *turnRequest) string {
	for _, ref := range q.caches() {
		if instance := g.warm.of(ref); instance != "" {
			return instance
		}
	}
	return ""
}

// warmed remembers the engine that holds the turn's prompt and answer.
func (g *Gate) warmed(q *turnRequest, instance string) {
	if parts := q.Call.Turn.Parts; len(parts) > 0 {
		g.warm.set(turns.Ref{Workspace: q.Workspace, ID: "part/" + parts[len(parts)-1].ID}, instance)
	}
	g.warm.set(turns.Ref{Workspace: q.Workspace, ID: q.Call.ID}, instance)
}

// urgency returns the engine's priority for the turn: 0 first. Programs under way go before those that begin.
func (t *turnRun) urgency() int {
	u := min(9, 2*t.Rank+1)
	if t.underWay {
		u--
	}
	return u
}

// begin reserves the turn's tokens and finds its chain.
func (t *turnRun) begin(ctx context.Context) *fault.Fault {
	g, q := t.gate, t.turnRequest
	previous := q.previous()
	t.underWay = previous.ID != "" || t.part.Knows(q.program())
	if f := t.admit(ctx, time.Now()); f != nil {
		return f
	}
	var err error
	t.begun, err = t.part.Begin(q.claim(), previous, time.Now())
	if errors.Is(err, owner.ErrReading) {
		if err = t.awaitChain(ctx, previous); err == nil {
			t.begun, err = t.part.Begin(q.claim(), previous, time.Now())
		}
	}
	if errors.Is(err, turns.ErrUnknown) {
		if f := g.importChain(ctx, t.part, previous); f != nil {
			return f
		}
		t.begun, err = t.part.Begin(q.claim(), previous, time.Now())
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, turns.ErrBudget):
		return g.refuse(fault.BudgetExhausted, "budget", "%v", err)
	case errors.Is(err, owner.ErrDetached):
		return g.refuse(fault.LogUnavailable, "home", "%v", err).
			WithRetryAfter(time.Duration(detachedPart * float64(q.LeftMS) * float64(time.Millisecond)))
	case errors.Is(err, owner.ErrMoved):
		return g.refuse(fault.Moved, "home", "%v", err)
	}
	return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(retrySoon)
}

// awaitChain waits while the partition is read after it changed hands.
func (t *turnRun) awaitChain(ctx context.Context, previous turns.Ref) error {
	ctx, cancel := context.WithTimeout(ctx, homePatience)
	defer cancel()
	return t.part.AwaitChain(ctx, previous)
}

// admit refuses a program that would begin while the engines are full or its workspace's rate holds no more of them.
func (t *turnRun) admit(ctx context.Context, now time.Time) *fault.Fault {
	g, q := t.gate, t.turnRequest
	if t.underWay {
		return nil
	}
	slots, held := g.roster.Census(q.Service, now)
	load := admit.Gauge{Slots: slots, Held: held}
	left := time.Duration(q.ProgramLeftMS) * time.Millisecond
	a := admit.Ask{Rank: q.Rank, Left: left, Whole: g.asked.first(q.program(), left)}
	ok, retryAfter := g.policy.Begin(load, a)
	if ok {
		w, _ := g.layout.Load().Workspace(q.Workspace)
		return g.rates.begin(ctx, w)
	}
	g.metrics.Add("programs_refused", 1)
	return g.refuse(fault.Overloaded, "begin", "engines of %q hold %.1f requests in %d slots, limit %.2f at rank %d, %v of %v left",
		q.Service, held, slots, g.policy.Limit(a), q.Rank, left, a.Whole).WithRetryAfter(retryAfter)
}

// finish makes a turn that was answered whole durable if its history is kept.
func (t *turnRun) finish(ctx context.Context, status int) *fault.Fault {
	if status != http.StatusOK || !t.KeepsHistory {
		t.part.End(t.begun, t.tokens())
		return nil
	}
	done := turns.Turn{
		Ref: turns.Ref{Workspace: t.Workspace, ID: t.Call.ID}, Program: t.Call.Program, Previous: t.Call.Turn.Previous,
		Input: t.Call.Body, Output: slices.Clone(t.scan.Data()),
		Until: time.Now().Add(time.Duration(t.RetentionMS) * time.Millisecond).UnixMilli(),
	}
	ticket, err := t.part.Finish(t.begun, done, t.tokens(), time.Now())
	if err == nil {
		err = t.part.Await(ctx, ticket)
	}
	if errors.Is(err, owner.ErrMoved) {
		err = t.gate.handTurn(ctx, t.Partition, append(t.begun.Chain, done))
	}
	if err != nil {
		return t.gate.refuse(fault.UpstreamFailed, "history", "the turn could not be kept: %v", err).WithOutcome(fault.Ran)
	}
	return nil
}
