package gate

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/turns"
)

// runsLocally reports whether this process runs the turn itself instead of sending it to its program's home: the caller
// sent the whole prompt, so that only the account of the program is kept elsewhere.
func (g *Gateway) runsLocally(j *job) bool {
	if j.route.KeepsHistory {
		return false
	}
	switch g.settings.LocalTurns {
	case config.On:
		return true
	case config.Off:
		return false
	}
	return !g.layout.Load().KeepsHistory()
}

// localBudget is a reservation in this process's allowance of a program.
type localBudget struct {
	gateway *Gateway
	turn    *turnRequest
	tokens  int64
	// uncounted says that the turn states no maximum of tokens, so that what it uses is not counted.
	uncounted bool
	// started says that the program had started before this turn.
	started bool
}

// await returns at once: what a home grants is durable.
func (*localBudget) await(context.Context) error { return nil }

// end also asks for what the program lacks for its next turn, so that the turn does not wait for it; not while the process
// stops, since it would only have to return them. If the program has not started, it returns the tokens: while they are
// reserved, the home would tell other gateways that it has.
func (b *localBudget) end(tokens int64) {
	program := b.turn.program()
	if b.uncounted {
		tokens = min(tokens, b.tokens)
	}
	b.gateway.allowances.end(program, b.tokens, tokens, b.started)
	if tokens == 0 {
		if !b.started {
			b.gateway.returnAsync(program)
		}
		return
	}
	if b.uncounted || b.gateway.shutdown.Begun() {
		return
	}
	if missing, ask := b.gateway.allowances.shortOf(program, b.tokens); missing > 0 {
		b.gateway.renewAsync(b.turn, missing, ask)
	}
}

// serveLocalTurn runs a turn without kept history within an allowance of its program's budget.
func (g *Gateway) serveLocalTurn(ctx context.Context, j *job, w Reply) *fault.Fault {
	q := g.turnRequest(j)
	q.LeftMS = time.Until(j.deadline).Milliseconds()
	a := q.attempts(j.deadline)
	a.local = true
	if f := g.checkQuarantine(a.job); f != nil {
		return f
	}
	out := func(p answerPart) error {
		if p.Status != 0 {
			w.Head(p.Status, p.Header, -1)
			return nil
		}
		return w.Write(p.Body)
	}
	held := g.HoldAnswer()
	defer held.Release()
	t := &turnExecution{turnRequest: q, gateway: g, out: out, workspace: j.workspace, local: true, held: held}
	b, f := g.reserveLocally(ctx, q)
	if f != nil {
		return f
	}
	t.budget, t.programStarted = b, b.started
	if f := t.admit(ctx, time.Now()); f != nil {
		b.end(0)
		return f
	}
	return t.runWithinRate(ctx, a)
}

// uncountedTokens is what the first turn of a program at a gateway uses if it states no maximum. The home counts it, so that
// other gateways learn that the program has started.
const uncountedTokens = 1

// reserveLocally reserves the turn's tokens in this process's allowance and asks the home for what is missing.
func (g *Gateway) reserveLocally(ctx context.Context, q *turnRequest) (*localBudget, *fault.Fault) {
	b := &localBudget{gateway: g, turn: q, tokens: q.Call.Turn.MaxTokens, uncounted: q.Call.Turn.MaxTokens == 0}
	if b.uncounted && !g.allowances.started(q.program()) {
		b.tokens = uncountedTokens
	}
	for {
		r := g.allowances.reserve(q.program(), b.tokens, time.Now())
		switch {
		case r.ok:
			b.started = r.started
			return b, nil
		case r.missing > 0:
			answer, f := g.askHome(ctx, q, r.missing, r.ask)
			if f != nil {
				g.allowances.answered(q.program(), q.Partition, 0, nil)
				return nil, f
			}
			if c := answer.Cached; c != nil {
				g.cacheEngines.set(partRef(q.Workspace, c.Part), c.Instance)
			}
			g.allowances.answered(q.program(), q.Partition, r.missing, &answer)
		default:
			select {
			case <-r.wait:
			case <-ctx.Done():
				return nil, g.timeoutFault("home", false)
			}
		}
	}
}

// askHome asks the program's home for tokens, and waits while the partition changes hands.
func (g *Gateway) askHome(ctx context.Context, q *turnRequest, tokens int64, ask string) (grantAnswer, *fault.Fault) {
	waitUntil := time.Now().Add(ownerWaitTimeout)
	for tries := 1; ; tries++ {
		answer, f := g.askGrant(ctx, q.grantRequest(g, tokens, ask))
		if f == nil || !shouldRetryOwner(f) {
			g.unowned.markOwned(q.Partition)
			return answer, f
		}
		lasting := g.unowned.markUnowned(q.Partition, time.Now())
		if lasting && tries > 1 || ctx.Err() != nil || time.Now().After(waitUntil) {
			return answer, g.refuse(fault.Unready, "home", "partition %d has no reachable owner: %s", q.Partition, f.Message).
				WithRetryAfter(g.unownedRetryAfter(lasting, q))
		}
		g.metrics.Add("home_retries", 1)
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
		}
		g.owner.RefreshOwners(ctx)
	}
}

// askGrant sends one request for tokens to the home.
func (g *Gateway) askGrant(ctx context.Context, q grantRequest) (grantAnswer, *fault.Fault) {
	address, self, known := g.owner.AddressOf(q.Partition)
	if !known {
		return grantAnswer{}, g.refuse(fault.ProgramMoved, "home", "the owner of partition %d is unknown", q.Partition)
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	var answer grantAnswer
	var err error
	if self {
		answer, err = g.grantBudget(ctx, q)
	} else {
		answer, err = callPeer[grantAnswer](ctx, g.peers, address, grantsPath, q)
	}
	var f *fault.Fault
	switch {
	case err == nil:
		g.metrics.Add("grants", 1)
		return answer, nil
	case errors.As(err, &f):
		return answer, f
	case errors.Is(err, syscall.ECONNREFUSED):
		g.expelAsync(address)
	}
	// The home may have granted tokens that did not arrive. The next request gets them, unless the grant has expired.
	return answer, g.refuse(fault.PeerUnreachable, "home", "%v", err)
}

// grantRequest returns the request for tokens of the turn's program.
func (q *turnRequest) grantRequest(g *Gateway, tokens int64, ask string) grantRequest {
	r := grantRequest{
		Workspace: q.Workspace, Program: q.Call.Program, Partition: q.Partition, Budget: q.Call.Turn.Budget,
		Tokens: tokens, TurnTokens: max(q.Call.Turn.MaxTokens, uncountedTokens), AccountMS: q.claim().AccountTTL.Milliseconds(), LeftMS: q.LeftMS,
		Ask: ask, From: g.settings.PeerAddress(),
	}
	for i := len(q.Call.Turn.Parts) - 1; i > 0; i-- {
		id := q.Call.Turn.Parts[i].ID
		if instance := g.cacheEngines.get(partRef(q.Workspace, id)); instance != "" {
			r.Cached = &cachedPart{Part: id, Instance: instance}
			break
		}
		r.Parts = append(r.Parts, id)
	}
	return r
}

// renewAsync asks for tokens that the program's next turn is expected to need.
func (g *Gateway) renewAsync(q *turnRequest, tokens int64, ask string) {
	g.group.Go(func(ctx context.Context) error {
		r := q.grantRequest(g, tokens, ask)
		r.Ahead = true
		answer, f := g.askGrant(ctx, r)
		if f != nil {
			g.allowances.answered(q.program(), q.Partition, 0, nil) // The next turn asks again.
			return nil
		}
		g.allowances.answered(q.program(), q.Partition, tokens, &answer)
		return nil
	})
}

// partRef is the key under which the engine that caches a prompt up to the part is recorded.
func partRef(workspace, part string) turns.Ref {
	return turns.Ref{Workspace: workspace, ID: "part/" + part}
}
