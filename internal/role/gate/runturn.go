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

// turnExecution is the execution of a turn at the owner of its partition.
type turnExecution struct {
	*turnRequest
	gateway     *Gateway
	partition   *owner.Partition
	reservation owner.AdmittedTurn
	out         sink
	// workspace has the rate that the turn counts against.
	workspace layout.Workspace
	// scan parses the events that were passed on.
	scan events.Scanner
	// partialEvent holds the bytes of an incomplete event if the stream can be resumed at another engine.
	partialEvent []byte
	// headSent means that the response headers were passed on.
	headSent bool
	// programStarted means that the program started before this turn.
	programStarted bool
}

// runTurn runs a turn of a program whose partition this process owns.
func (g *Gateway) runTurn(ctx context.Context, q *turnRequest, out sink) *fault.Fault {
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
	t := &turnExecution{turnRequest: q, gateway: g, partition: p, out: out, workspace: w}
	if f := t.begin(ctx); f != nil {
		return f
	}
	started := false
	f = g.withRateToken(ctx, w, func() *fault.Fault {
		started = true
		return t.run(ctx, a)
	})
	if !started {
		t.partition.Abort(t.reservation, 0)
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
	prompt := turns.Prompt(t.reservation.Chain, q.Call.Body)
	cached := g.cachedEngine(q)
	for a.remaining() && ctx.Err() == nil {
		u, ok := g.pick(a, cached, cacheLoadBonus)
		if !ok {
			break
		}
		began := time.Now()
		resp, ok := g.send(ctx, a, u, prompt, t.priority())
		if ok {
			again, f := t.stream(ctx, a, u, resp)
			if !again {
				if f == nil && t.scan.EventCount() >= minTimedEvents {
					g.latencies.record(turnKind(q.Service), time.Since(began))
				}
				return f
			}
			g.metrics.Add("streams_resumed", 1)
		}
		if a.mayHaveRun && !a.repeatable() {
			break
		}
	}
	t.partition.Abort(t.reservation, t.deliveredTokens())
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
		g.cacheEngines.set(turns.Ref{Workspace: q.Workspace, ID: "part/" + parts[len(parts)-1].ID}, instance)
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

// begin reserves the turn's tokens and loads its chain.
func (t *turnExecution) begin(ctx context.Context) *fault.Fault {
	g, q := t.gateway, t.turnRequest
	previous := q.previous()
	t.programStarted = previous.ID != "" || t.partition.HasProgram(q.program())
	if f := t.admit(ctx, time.Now()); f != nil {
		return f
	}
	var err error
	t.reservation, err = t.reserve(previous)
	if errors.Is(err, owner.ErrLoading) {
		if err = t.awaitChain(ctx, previous); err == nil {
			t.reservation, err = t.reserve(previous)
		}
	}
	if errors.Is(err, turns.ErrUnknownTurn) {
		if f := g.importChain(ctx, t.partition, previous); f != nil {
			return f
		}
		t.reservation, err = t.reserve(previous)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, turns.ErrBudgetExhausted):
		return g.refuse(fault.BudgetExhausted, "budget", "%v", err)
	case errors.Is(err, owner.ErrStoreUnavailable):
		return g.refuse(fault.LogUnavailable, "home", "%v", err).
			WithRetryAfter(time.Duration(outageRetryFraction * float64(q.LeftMS) * float64(time.Millisecond)))
	case errors.Is(err, owner.ErrMoved):
		return g.refuse(fault.ProgramMoved, "home", "%v", err)
	}
	return g.refuse(fault.Unready, "history", "%v", err).WithRetryAfter(shortRetry)
}

// reserve begins the turn at its partition. Its patience is the time that the caller has left.
func (t *turnExecution) reserve(previous turns.Ref) (owner.AdmittedTurn, error) {
	return t.partition.Begin(t.claim(), previous, time.Duration(t.LeftMS)*time.Millisecond, time.Now())
}

// awaitChain waits while the partition is being read after a change of owner.
func (t *turnExecution) awaitChain(ctx context.Context, previous turns.Ref) error {
	ctx, cancel := context.WithTimeout(ctx, ownerWaitTimeout)
	defer cancel()
	return t.partition.AwaitChain(ctx, previous)
}

// admit refuses to start a program while the engines are full or the workspace's rate has no room for another program.
func (t *turnExecution) admit(ctx context.Context, now time.Time) *fault.Fault {
	g, q := t.gateway, t.turnRequest
	if t.programStarted {
		return nil
	}
	slots, requests := g.roster.Usage(q.Service, now)
	usage := admit.Usage{Slots: slots, Requests: requests}
	left := time.Duration(q.ProgramLeftMS) * time.Millisecond
	a := admit.Request{Priority: q.Priority, TimeLeft: left, TotalTime: g.initialTimeLeft.getOrAdd(q.program(), left)}
	ok, retryAfter := g.policy.Admit(usage, a)
	if ok {
		return g.rates.admitProgram(ctx, t.workspace)
	}
	g.metrics.Add("programs_refused", 1)
	return g.refuse(fault.Overloaded, "begin",
		"engines of %q hold %.1f requests in %d slots, limit %.2f for priority %d, %v of %v left",
		q.Service, requests, slots, g.policy.Limit(a), q.Priority, left, a.TotalTime).WithRetryAfter(retryAfter)
}

// finish ends a turn that was answered in full. If the route keeps history, it returns once the turn is durable.
func (t *turnExecution) finish(ctx context.Context, status int) *fault.Fault {
	if status != http.StatusOK || !t.KeepsHistory {
		t.partition.Abort(t.reservation, t.deliveredTokens())
		return nil
	}
	now := time.Now()
	reportBy, _ := ctx.Deadline()
	completed := turns.Turn{
		Ref: turns.Ref{Workspace: t.Workspace, ID: t.Call.ID}, Program: t.Call.Program, Previous: t.Call.Turn.Previous,
		Input: t.Call.Body, Output: slices.Clone(t.scan.Data()),
	}.WithRetention(time.Duration(t.RetentionMS)*time.Millisecond, reportBy, now)
	ticket, err := t.partition.Finish(t.reservation, completed, t.deliveredTokens(), now)
	if err == nil {
		err = t.partition.Await(ctx, ticket)
	}
	if errors.Is(err, owner.ErrMoved) {
		err = t.gateway.handOverTurn(ctx, t.Partition, append(t.reservation.Chain, completed))
	}
	if err != nil {
		return t.gateway.refuse(fault.UpstreamFailed, "history", "the turn could not be stored: %v", err).
			WithOutcome(fault.Ran)
	}
	return nil
}
