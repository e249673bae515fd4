package gate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/sched/admit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/events"
	"galenaward.example/galenaward/internal/wire/httpc"
)

const (
	// detachedPart is the part of a caller's time after which it may come back while the store takes no appends.
	// Outages last for seconds, and callers wait for up to a third of the time that they have left.
	detachedPart = 0.32
	// warmBonus is the requests per slot by which another engine must be less loaded to run a turn whose cache stands
	// elsewhere.
	warmBonus = 1.2
	// adoptTimeout bounds the handing of a turn to the new holder of its partition. A caller leaves a stream that is
	// silent for two seconds.
	adoptTimeout = 1800 * time.Millisecond
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
	prompt := turns.Prompt(t.begun.Chain, q.Call.Body)
	warm := g.warm.of(turns.Ref{Workspace: q.Workspace, ID: q.Call.Turn.Previous})
	for a.more() && ctx.Err() == nil {
		u, ok := g.pick(a, warm, warmBonus)
		if !ok {
			break
		}
		ans, ok := g.exchange(ctx, a, u, prompt, urgency(q))
		if ok {
			return t.stream(ctx, a, u, ans)
		}
		if a.ran {
			break
		}
	}
	t.part.End(t.begun, 0)
	return g.giveUp(ctx, a)
}

// urgency returns the engine's priority for the turn: 0 first. Programs under way go before those that begin.
func urgency(q *turnRequest) int {
	u := min(9, 2*q.Rank+1)
	if q.Call.Turn.Previous != "" {
		u--
	}
	return u
}

// begin reserves the turn's tokens and finds its chain.
func (t *turnRun) begin(ctx context.Context) *fault.Fault {
	g, q := t.gate, t.turnRequest
	previous := turns.Ref{Workspace: q.Workspace, ID: q.Call.Turn.Previous}
	if f := t.admit(time.Now()); f != nil {
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

// admit refuses a program that would begin while the engines are full.
func (t *turnRun) admit(now time.Time) *fault.Fault {
	g, q := t.gate, t.turnRequest
	program := turns.Ref{Workspace: q.Workspace, ID: q.Call.Program}
	if q.Call.Turn.Previous != "" || t.part.Knows(program) {
		return nil
	}
	slots, held := g.roster.Census(q.Service, now)
	load := admit.Gauge{Slots: slots, Held: held}
	left := time.Duration(q.ProgramLeftMS) * time.Millisecond
	a := admit.Ask{Rank: q.Rank, Left: left, Whole: g.asked.first(program, left)}
	ok, retryAfter := g.policy.Begin(load, a)
	if ok {
		return nil
	}
	g.metrics.Add("programs_refused", 1)
	return g.refuse(fault.Overloaded, "begin", "engines of %q hold %.1f requests in %d slots, limit %.2f at rank %d, %v of %v left",
		q.Service, held, slots, g.policy.Limit(a), q.Rank, left, a.Whole).WithRetryAfter(retryAfter)
}

// stream passes an engine's answer on. Its end is told once the turn is durable.
func (t *turnRun) stream(ctx context.Context, a *attempts, u roster.Upstream, ans *httpc.Answer) *fault.Fault {
	defer ans.Close()
	g := t.gate
	if err := t.part.Await(ctx, t.begun.Ticket); err != nil {
		t.part.End(t.begun, 0)
		g.outcome(ctx, a, u, roster.Abandoned, err)
		return g.refuse(fault.UpstreamFailed, "budget", "%v", err).WithOutcome(fault.Ran)
	}
	h := g.codec.Backward(ans.Header)
	if err := t.out(part{Status: ans.Status, Header: h}); err != nil {
		return t.abandon(u, err)
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			t.scan.Write(buf[:n])
			if werr := t.out(part{Body: slices.Clone(buf[:n])}); werr != nil {
				return t.abandon(u, werr)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			t.part.End(t.begun, t.tokens())
			g.broken(ctx, a, u, err)
			return g.refuse(fault.UpstreamFailed, "stream", "after %d events: %v", t.scan.Count(), err).WithOutcome(fault.Ran)
		}
	}
	g.ended(a.job, u)
	g.warm.set(turns.Ref{Workspace: t.Workspace, ID: t.Call.ID}, u.Instance)
	return t.finish(ctx, ans.Status)
}

// tokens returns what was handed out, a broken event included.
func (t *turnRun) tokens() int64 {
	n := t.scan.Count()
	if !t.scan.Clean() {
		n++
	}
	return n * t.EventTokens
}

func (t *turnRun) abandon(u roster.Upstream, err error) *fault.Fault {
	t.part.End(t.begun, t.tokens())
	t.gate.roster.Done(u.Instance, roster.Abandoned, time.Now())
	return t.gate.callerGone(err)
}

// finish makes a turn that was answered whole durable.
func (t *turnRun) finish(ctx context.Context, status int) *fault.Fault {
	if status != http.StatusOK {
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

// handTurn gives a turn that was answered whole to the new holder of its partition.
func (g *Gate) handTurn(ctx context.Context, partition int, ts []turns.Turn) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for {
		g.owner.Look(ctx)
		address, self, ok := g.owner.AddressOf(partition)
		q := adoptRequest{Partition: partition, Turns: heldTurns(ts)}
		var err error
		switch {
		case !ok:
			err = errors.Wrapf(owner.ErrMoved, "partition %d", partition)
		case self:
			_, err = g.adopt(ctx, q)
		default:
			_, err = ask[adoptAnswer](ctx, g.peers, address, adoptPath, q)
		}
		if err == nil {
			g.note("turn_handed_over", "partition", partition, "turn", ts[len(ts)-1].ID, "peer", address)
			return nil
		}
		select {
		case <-time.After(homePause):
		case <-ctx.Done():
			return errors.Wrapf(err, "hand turn to %s", address)
		}
	}
}

// adopt keeps turns that a peer's engine answered whole.
func (g *Gate) adopt(ctx context.Context, q adoptRequest) (adoptAnswer, error) {
	p, ok := g.owner.Held(q.Partition)
	if !ok {
		return adoptAnswer{}, g.refuse(fault.Moved, "adopt", "partition %d is not held here", q.Partition)
	}
	ticket, err := p.Adopt(plainTurns(q.Turns), time.Now())
	if err != nil {
		return adoptAnswer{}, err
	}
	return adoptAnswer{}, p.Await(ctx, ticket)
}
