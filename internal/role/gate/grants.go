package gate

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/state/allow"
	"galenaward.example/galenaward/internal/state/turns"
)

const (
	// grantTimeout bounds one request for a grant. It covers an append of a slow store.
	grantTimeout = 700 * time.Millisecond
	// grantConfirmTimeout is how long a home waits for the record of a grant.
	grantConfirmTimeout = 600 * time.Millisecond
	// recallTimeout bounds a request for unused tokens.
	recallTimeout = 150 * time.Millisecond
)

type (
	// grantRequest asks the home of a program for tokens of its budget.
	grantRequest struct {
		Workspace string `json:"workspace"`
		Program   string `json:"program"`
		Partition int    `json:"partition"`
		// Tokens is the number of tokens wanted. Budget is the program's budget, TurnTokens the maximum number of tokens of
		// one turn.
		Tokens     int64 `json:"tokens"`
		Budget     int64 `json:"budget"`
		TurnTokens int64 `json:"turn_tokens"`
		// AccountMS is how long the account is kept.
		AccountMS int64 `json:"account_ms"`
		// LeftMS is the time that the caller has left.
		LeftMS int64 `json:"left_ms"`
		// Ask is the same in each repeat of a request until an answer arrives, so that the home grants the tokens once.
		Ask string `json:"ask,omitempty"`
		// From is the peer address of the gateway that asks.
		From string `json:"from"`
		// Ahead means that no turn waits for the tokens, so that other gateways need not give up theirs.
		Ahead bool `json:"ahead,omitempty"`
		// Parts are the IDs of the prompt's parts whose engine the gateway does not know, the longest prefix first.
		Parts []string `json:"parts,omitempty"`
		// Cached names the engine that caches a part, as far as the gateway knows.
		Cached *cachedPart `json:"cached,omitempty"`
	}
	// grantAnswer holds the ID of the grant and its tokens; zero if an older version of the gateway answers, which grants as
	// many as were asked for. Started says that the program used tokens before.
	grantAnswer struct {
		ID      string      `json:"id"`
		Tokens  int64       `json:"tokens,omitempty"`
		Started bool        `json:"started,omitempty"`
		Cached  *cachedPart `json:"cached,omitempty"`
	}
	// cachedPart says which engine caches the prompt up to a part.
	cachedPart struct {
		Part     string `json:"part"`
		Instance string `json:"instance"`
	}
	// returnRequest returns tokens to the home of a partition.
	returnRequest struct {
		Partition int            `json:"partition"`
		Returns   []allow.Return `json:"returns"`
	}
	// recallRequest asks for the unused tokens of a program.
	recallRequest struct {
		Workspace string `json:"workspace"`
		Program   string `json:"program"`
	}
	recallAnswer struct {
		Returns []allow.Return `json:"returns,omitempty"`
	}
)

func (q grantRequest) program() turns.Ref { return turns.Ref{Workspace: q.Workspace, ID: q.Program} }

// grantBudget answers a gateway that runs turns of a program whose partition this process holds.
func (g *Gateway) grantBudget(ctx context.Context, q grantRequest) (grantAnswer, error) {
	p, ok := g.owner.HeldPartition(q.Partition)
	if !ok {
		return grantAnswer{}, g.refuse(fault.ProgramMoved, "home", "partition %d is not owned by this process", q.Partition)
	}
	if q.Cached != nil {
		g.cacheEngines.set(partRef(q.Workspace, q.Cached.Part), q.Cached.Instance)
	}
	grant, err := g.grantOrRecall(ctx, p, q)
	if err != nil {
		return grantAnswer{}, g.budgetFault(err, time.Duration(q.LeftMS)*time.Millisecond)
	}
	if err := g.awaitGrant(ctx, p, grant); err != nil {
		p.WithdrawGrant(grant.ID, time.Now())
		return grantAnswer{}, g.budgetFault(err, time.Duration(q.LeftMS)*time.Millisecond)
	}
	return grantAnswer{ID: grant.ID, Tokens: grant.Tokens, Started: grant.Started, Cached: g.knownPart(q)}, nil
}

// awaitGrant waits until the record of the grant is durable.
func (g *Gateway) awaitGrant(ctx context.Context, p *owner.Partition, grant owner.Grant) error {
	if grant.Ticket == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantConfirmTimeout)
	defer cancel()
	err := p.Await(ctx, grant.Ticket)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Mark(err, owner.ErrStoreUnavailable)
	}
	return err
}

// grantOrRecall reserves tokens for the gateway. If none are left, it first asks the other gateways for what they hold
// and do not use.
func (g *Gateway) grantOrRecall(ctx context.Context, p *owner.Partition, q grantRequest) (owner.Grant, error) {
	c := turns.Claim{
		Program: q.program(), Budget: q.Budget, MaxTokens: q.Tokens, TurnTokens: q.TurnTokens, Ask: q.Ask,
		AccountTTL: time.Duration(q.AccountMS) * time.Millisecond,
	}
	patience := time.Duration(q.LeftMS) * time.Millisecond
	grant, err := p.Grant(c, q.From, patience, time.Now())
	if !errors.Is(err, turns.ErrBudgetExhausted) || q.Ahead {
		return grant, err
	}
	holders := slices.DeleteFunc(p.GrantHolders(c.Program), func(a string) bool { return a == q.From })
	if len(holders) == 0 {
		return grant, err
	}
	if recallErr := g.recall(ctx, p, c.Program, holders); recallErr != nil {
		// What an unreachable gateway holds may be unused, so it is not certain that the budget is spent.
		return grant, recallErr
	}
	return p.Grant(c, q.From, patience, time.Now())
}

// recall takes back the tokens that other gateways hold and do not use.
func (g *Gateway) recall(ctx context.Context, p *owner.Partition, program turns.Ref, holders []string) error {
	g.metrics.Add("grants_recalled", int64(len(holders)))
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	q := recallRequest{Workspace: program.Workspace, Program: program.ID}
	var eg errgroup.Group
	for _, address := range holders {
		eg.Go(func() error {
			a, err := g.askRecall(ctx, address, q)
			if errors.Is(err, syscall.ECONNREFUSED) {
				return nil // Its process has ended, so what it held counts as spent.
			}
			if err != nil {
				return errors.Wrapf(err, "recall tokens of program %q", program.ID)
			}
			for _, r := range a.Returns {
				p.ReturnGrant(r.ID, r.Unused, r.Closed, time.Now())
			}
			return nil
		})
	}
	return eg.Wait()
}

func (g *Gateway) askRecall(ctx context.Context, address string, q recallRequest) (recallAnswer, error) {
	if address == g.settings.PeerAddress() {
		return g.releaseProgram(ctx, q)
	}
	return callPeer[recallAnswer](ctx, g.peers, address, recallPath, q)
}

// takeReturns takes back tokens that a gateway did not use.
func (g *Gateway) takeReturns(_ context.Context, q returnRequest) (struct{}, error) {
	p, ok := g.owner.HeldPartition(q.Partition)
	if !ok {
		return struct{}{}, g.refuse(fault.ProgramMoved, "home", "partition %d is not owned by this process", q.Partition)
	}
	for _, r := range q.Returns {
		p.ReturnGrant(r.ID, r.Unused, r.Closed, time.Now())
	}
	return struct{}{}, nil
}

// knownPart returns the engine that caches the longest of the parts that the gateway asks for.
func (g *Gateway) knownPart(q grantRequest) *cachedPart {
	for _, id := range q.Parts {
		if instance := g.cacheEngines.get(partRef(q.Workspace, id)); instance != "" {
			return &cachedPart{Part: id, Instance: instance}
		}
	}
	return nil
}

// openGrants returns the number of open grants of the partitions that this process holds.
func (g *Gateway) openGrants() int64 {
	n := 0
	for _, p := range g.owner.HeldPartitions() {
		n += p.OpenGrants()
	}
	return int64(n)
}

// registerGrantHandlers adds the peer API of grants.
func (g *Gateway) registerGrantHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+grantsPath, jsonHandler(g, g.grantBudget))
	mux.Handle("POST "+returnsPath, jsonHandler(g, g.takeReturns))
	mux.Handle("POST "+recallPath, jsonHandler(g, g.releaseProgram))
}
