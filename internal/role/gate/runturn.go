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
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/turns"
	"galenaward.example/galenaward/internal/wire/events"
)

const (
	// outageRetryFraction is the fraction of the caller's remaining time after which it may retry while the store
	// rejects appends. Outages last for seconds, and callers wait for at most a third of their remaining time.
	outageRetryFraction = 0.32
	// cacheLoadBonus is the difference in load, in requests per slot, from which a turn runs at a less loaded engine
	// instead of the one that caches its prompt.
	cacheLoadBonus = 1.2
	// chainTimeout bounds the search for a chain in other partitions.
	chainTimeout = 500 * time.Millisecond
)

// turnExecution is the execution of a turn, at the owner of its partition or where it arrived.
type turnExecution struct {
	*turnRequest
	gateway *Gateway
	budget  turnBudget
	// chain holds the earlier turns if the route keeps history.
	chain []turns.Turn
	out   sink
	// workspace has the rate that the turn counts against.
	workspace layout.Workspace
	// scan parses the events that were passed on.
	scan events.Scanner
	// partialEvent holds the bytes of an incomplete event if the stream can be resumed at another engine.
	partialEvent []byte
	// headSent means that the response headers were passed on.
	headSent bool
	// local says that the turn runs where it arrived.
	local bool
	// held accounts for the memory of the answer.
	held *HeldAnswer
	// programStarted means that the program started before this turn.
	programStarted bool
}

// runTurn runs a turn of a program whose partition this process owns. The caller releases held.
func (g *Gateway) runTurn(ctx context.Context, q *turnRequest, out sink, held *HeldAnswer) *fault.Fault {
	p, ok := g.owner.HeldPartition(q.Partition)
	if !ok {
		return g.refuse(fault.ProgramMoved, "home", "partition %d is not owned by this process", q.Partition)
	}
	deadline, _ := ctx.Deadline()
	a := q.attempts(deadline)
	if f := g.checkQuarantine(a.job); f != nil {
		return f
	}
	w, f := g.workspaceOf(q)
	if f != nil {
		return f
	}
	t := &turnExecution{turnRequest: q, gateway: g, out: out, workspace: w, held: held}
	if f := t.begin(ctx, p); f != nil {
		return f
	}
	return t.runWithinRate(ctx, a)
}

// runWithinRate takes a request from the workspace's rate and runs the turn.
func (t *turnExecution) runWithinRate(ctx context.Context, a *attempts) *fault.Fault {
	started := false
	f := t.gateway.withRateToken(ctx, t.workspace, func() *fault.Fault {
		started = true
		return t.run(ctx, a)
	})
	if !started {
		t.budget.end(0)
	}
	return f
}

// workspaceOf returns the workspace of the turn. A process that does not know it cannot tell its rate, and refuses the turn:
// it has no configuration yet, or a newer or older one than the gateway that took the request.
func (g *Gateway) workspaceOf(q *turnRequest) (layout.Workspace, *fault.Fault) {
	w, ok := g.layout.Load().Workspace(q.Workspace)
	if !ok && q.Workspace != "" {
		return w, g.refuse(fault.Unready, "rate", "workspace %q is unknown", q.Workspace).WithRetryAfter(notReadyRetry)
	}
	return w, nil
}

// run sends the turn to engines until one has answered it.
func (t *turnExecution) run(ctx context.Context, a *attempts) *fault.Fault {
	g, q := t.gateway, t.turnRequest
	if q.Resumable {
		a.resumeAfter = q.Call.Turn.ResumeAfter
	}
	prompt := turns.Prompt(t.chain, q.Call.Body)
	cached := g.cachedEngine(q)
	for a.remaining() && ctx.Err() == nil {
		u, ok := g.pickOrWait(ctx, a, cached, cacheLoadBonus)
		if !ok {
			break
		}
		sent := time.Now()
		resp, ok := g.send(ctx, a, u, prompt, t.priority())
		if ok {
			t.recordFirstEvent(time.Since(sent))
			again, f := t.stream(ctx, a, u, resp)
			if !again {
				if f == nil && t.scan.EventCount() >= minTimedEvents {
					g.latencies.record(turnKind(q.Service), time.Since(sent))
				}
				return f
			}
			g.metrics.Add("streams_resumed", 1)
		}
		if a.mayHaveRun && !a.repeatable() {
			break
		}
	}
	t.budget.end(t.deliveredTokens())
	return g.finalFault(ctx, a)
}

// cachedEngine returns the engine that is known to cache most of the turn's prompt; empty if none is.
func (g *Gateway) cachedEngine(q *turnRequest) string {
	for _, ref := range q.caches() {
		if instance := g.cacheEngines.get(ref); instance != "" {
			return instance
		}
	}
	return ""
}

// rememberEngine records the engine that caches the turn's prompt and answer.
func (g *Gateway) rememberEngine(q *turnRequest, instance string) {
	if parts := q.Call.Turn.Parts; len(parts) > 0 {
		g.cacheEngines.set(partRef(q.Workspace, parts[len(parts)-1].ID), instance)
	}
	g.cacheEngines.set(turns.Ref{Workspace: q.Workspace, ID: q.Call.ID}, instance)
}

// priority returns the engine priority of the turn, 0 being the highest. Turns of running programs go before those that
// start a program.
func (t *turnExecution) priority() int {
	u := min(9, 2*t.Priority+1)
	if t.programStarted {
		u--
	}
	return u
}

// begin reserves the turn's tokens in its partition and loads its chain.
func (t *turnExecution) begin(ctx context.Context, p *owner.Partition) *fault.Fault {
	g, q := t.gateway, t.turnRequest
	previous := q.previous()
	t.programStarted = previous.ID != "" || p.HasProgram(q.program())
	if f := t.admit(ctx, time.Now()); f != nil {
		return f
	}
	reservation, err := q.reserve(p, previous)
	if errors.Is(err, owner.ErrLoading) {
		if err = awaitChain(ctx, p, previous); err == nil {
			reservation, err = q.reserve(p, previous)
		}
	}
	if errors.Is(err, turns.ErrUnknownTurn) {
		if f := g.importChain(ctx, p, previous); f != nil {
			return f
		}
		reservation, err = q.reserve(p, previous)
	}
	if err != nil {
		return g.budgetFault(err, q.left())
	}
	t.budget, t.chain = &homeBudget{partition: p, reservation: reservation}, reservation.Chain
	return nil
}

// budgetFault returns the fault of a turn that its program's home refused. Left is the time that the caller has.
func (g *Gateway) budgetFault(err error, left time.Duration) *fault.Fault {
	switch {
	case errors.Is(err, turns.ErrBudgetExhausted):
		return g.refuse(fault.BudgetExhausted, "budget", "%v", err)
	case errors.Is(err, owner.ErrStoreUnavailable):
		return g.refuse(fault.LogUnavailable, "home", "%v", err).
			WithRetryAfter(time.Duration(outageRetryFraction * float64(left)))
	case errors.Is(err, owner.ErrMoved):
		return g.refuse(fault.ProgramMoved, "home", "%v", err)
	}
	return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(shortRetry)
}

// left returns the time that the caller had left when the turn was sent to its home.
func (q *turnRequest) left() time.Duration { return time.Duration(q.LeftMS) * time.Millisecond }

// reserve begins the turn at its partition. Its patience is the time that the caller has left.
func (q *turnRequest) reserve(p *owner.Partition, previous turns.Ref) (owner.AdmittedTurn, error) {
	return p.Begin(q.claim(), previous, q.left(), time.Now())
}

// awaitChain waits while the partition is being read after a change of owner.
func awaitChain(ctx context.Context, p *owner.Partition, previous turns.Ref) error {
	ctx, cancel := context.WithTimeout(ctx, ownerWaitTimeout)
	defer cancel()
	return p.AwaitChain(ctx, previous)
}

// admit refuses to start a program while the engines are full or the workspace's rate has no room for another program.
func (t *turnExecution) admit(ctx context.Context, now time.Time) *fault.Fault {
	g, q := t.gateway, t.turnRequest
	if t.programStarted {
		return nil
	}
	slots, requests := g.roster.Usage(roster.UsageQuery{
		Service: q.Service, Allows: g.dataCentreFilter(q.Regions), SparseReports: t.local,
		Typical: g.latencies.typical(turnKind(q.Service)),
	}, now)
	usage := admit.Usage{Slots: slots, Requests: requests}
	left := time.Duration(q.ProgramLeftMS) * time.Millisecond
	a := admit.Request{Priority: q.Priority, TimeLeft: left, TotalTime: g.initialTimeLeft.getOrAdd(q.program(), left)}
	policy := t.admissionPolicy()
	ok, retryAfter := policy.Admit(usage, a)
	if ok {
		return g.rates.admitProgram(ctx, t.workspace)
	}
	g.metrics.Add("programs_refused", 1)
	return g.refuse(fault.Overloaded, "begin",
		"engines of %q hold %.1f requests in %d slots, limit %.2f for priority %d, %v of %v left",
		q.Service, requests, slots, policy.Limit(a), q.Priority, left, a.TotalTime).WithRetryAfter(retryAfter)
}

// finish ends a turn that was answered in full. If the route keeps history, it returns once the turn is durable.
func (t *turnExecution) finish(ctx context.Context, status int) *fault.Fault {
	home, ok := t.budget.(*homeBudget)
	if status != http.StatusOK || !t.KeepsHistory || !ok {
		t.budget.end(t.deliveredTokens())
		return nil
	}
	now := time.Now()
	reportBy, _ := ctx.Deadline()
	completed := turns.Turn{
		Ref: turns.Ref{Workspace: t.Workspace, ID: t.Call.ID}, Program: t.Call.Program, Previous: t.Call.Turn.Previous,
		Input: t.Call.Body, Output: slices.Clone(t.scan.Data()),
	}.WithRetention(time.Duration(t.RetentionMS)*time.Millisecond, reportBy, now)
	ticket, err := home.partition.Finish(home.reservation, completed, t.deliveredTokens(), now)
	if err == nil {
		err = home.partition.Await(ctx, ticket)
	}
	if errors.Is(err, owner.ErrMoved) {
		err = t.gateway.handOverTurn(ctx, t.turnRequest, append(t.chain, completed))
	}
	if err != nil {
		return t.gateway.refuse(fault.UpstreamFailed, "history", "the turn could not be stored: %v", err).
			WithOutcome(fault.Ran)
	}
	return nil
}
