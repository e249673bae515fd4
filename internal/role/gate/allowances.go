package gate

import (
	"cmp"
	"context"
	"crypto/rand"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/allow"
	"galenaward.example/galenaward/internal/state/turns"
)

// allowanceIdle is how long after the last turn of a program its unused tokens are returned. Programs pause for a few
// seconds at most while their tools run. It must be below the time after which the home counts a grant as spent.
const allowanceIdle = 8 * time.Second

// allowances holds what this process may send to the callers of each program whose turns it runs without being their
// home. It is safe for concurrent use.
type allowances struct {
	mu sync.Mutex
	m  map[turns.Ref]*programAllowance
}

// programAllowance is the allowance of one program.
type programAllowance struct {
	value     allow.Allowance
	partition int
	lastUsed  time.Time
	// started says that the program used tokens before, here or elsewhere.
	started bool
	// asking is closed when the request to the home that is in progress ends; nil if there is none.
	asking chan struct{}
	// ask identifies the request that no grant has answered yet; empty if there is none.
	ask string
}

// beginAsking marks that a request to the home is in progress, and returns its ID. While no answer arrives, it is the same
// for later requests: the home may have granted the tokens.
func (p *programAllowance) beginAsking() string {
	p.asking = make(chan struct{})
	if p.ask == "" {
		p.ask = rand.Text()
	}
	return p.ask
}

func newAllowances() *allowances { return &allowances{m: make(map[turns.Ref]*programAllowance)} }

func (a *allowances) program(ref turns.Ref) *programAllowance {
	p, ok := a.m[ref]
	if !ok {
		p = &programAllowance{}
		a.m[ref] = p
	}
	return p
}

// reservation is the outcome of allowances.reserve.
type reservation struct {
	// ok means that the tokens are reserved. Started says that the program had started before.
	ok, started bool
	// missing is the number of tokens to ask the home for. If it is zero and ok is not set, a request is in progress that
	// ends when wait is closed.
	missing int64
	ask     string
	wait    <-chan struct{}
}

// reserve reserves the tokens of a turn, or tells what to do first. A caller that is told to ask must call answered.
func (a *allowances) reserve(ref turns.Ref, tokens int64, now time.Time) reservation {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.program(ref)
	p.lastUsed = now
	var ok bool
	if p.value, ok = p.value.Reserve(tokens); ok {
		started := p.started
		p.started = true
		return reservation{ok: true, started: started}
	}
	if p.asking != nil {
		return reservation{wait: p.asking}
	}
	return reservation{missing: tokens - p.value.Free(), ask: p.beginAsking()}
}

// started reports whether the program is known here to have used tokens.
func (a *allowances) started(ref turns.Ref) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.m[ref]
	return ok && p.started
}

// shortOf returns how many tokens the program lacks for its next turn, unless a request is in progress. A caller that is
// told a positive number must ask with the ID, and call answered.
func (a *allowances) shortOf(ref turns.Ref, tokens int64) (missing int64, ask string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.m[ref]
	if !ok || p.asking != nil || p.value.Running() || p.value.Free() >= tokens {
		return 0, ""
	}
	return tokens - p.value.Free(), p.beginAsking()
}

// answered ends a request to the home, which gave the grant or none.
func (a *allowances) answered(ref turns.Ref, partition int, tokens int64, g *grantAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.program(ref)
	if p.asking != nil {
		close(p.asking)
		p.asking = nil
	}
	if g != nil {
		p.value, p.partition, p.ask = p.value.WithGrant(g.ID, cmp.Or(g.Tokens, tokens)), partition, ""
		p.started = p.started || g.Started
	}
}

// end ends a turn that had reserved tokens and used some of them. A program that used none has not started.
func (a *allowances) end(ref turns.Ref, reserved, used int64, startedBefore bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.program(ref)
	p.value, p.lastUsed = p.value.WithEnd(reserved, used), time.Now()
	if used == 0 && !startedBefore && !p.value.Running() {
		p.started = false
	}
}

// programs returns the number of programs with an allowance.
func (a *allowances) programs() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.m))
}

// release gives up the unused tokens of a program.
func (a *allowances) release(ref turns.Ref) (partition int, returns []allow.Return) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.m[ref]
	if !ok {
		return 0, nil
	}
	p.value, returns = p.value.Release()
	if p.value.Empty() && p.asking == nil {
		delete(a.m, ref)
	}
	return p.partition, returns
}

// releaseIdle gives up the unused tokens of programs that ran no turn since the given time, by partition.
func (a *allowances) releaseIdle(since time.Time) map[int][]allow.Return {
	a.mu.Lock()
	var idle []turns.Ref
	for ref, p := range a.m {
		if p.lastUsed.Before(since) && !p.value.Running() && p.asking == nil {
			idle = append(idle, ref)
		}
	}
	a.mu.Unlock()
	out := make(map[int][]allow.Return)
	for _, ref := range idle {
		if partition, returns := a.release(ref); len(returns) > 0 {
			out[partition] = append(out[partition], returns...)
		}
	}
	return out
}

// returnIdle returns the tokens of programs that ran no turn since the given time to their homes. Tokens whose return
// does not arrive count as spent.
func (g *Gateway) returnIdle(since time.Time) {
	for partition, returns := range g.allowances.releaseIdle(since) {
		g.sendReturnsAsync(partition, returns)
	}
}

// returnAll returns all unused tokens, and waits until the homes have answered, for grantTimeout at most. It must be used when
// the process stops: a return in the background would end with the process.
func (g *Gateway) returnAll(ctx context.Context) {
	var eg errgroup.Group
	for partition, returns := range g.allowances.releaseIdle(time.Now()) {
		eg.Go(func() error {
			g.reportReturns(ctx, partition, returns)
			return nil
		})
	}
	_ = eg.Wait() // reportReturns logs its errors.
}

// returnAsync returns the unused tokens of a program to its home.
func (g *Gateway) returnAsync(program turns.Ref) {
	if partition, returns := g.allowances.release(program); len(returns) > 0 {
		g.sendReturnsAsync(partition, returns)
	}
}

func (g *Gateway) sendReturnsAsync(partition int, returns []allow.Return) {
	g.group.Go(func(ctx context.Context) error {
		g.reportReturns(ctx, partition, returns)
		return nil
	})
}

// reportReturns sends the returns and logs if they do not arrive.
func (g *Gateway) reportReturns(ctx context.Context, partition int, returns []allow.Return) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if err := g.sendReturns(ctx, returnRequest{Partition: partition, Returns: returns}); err != nil {
		g.logEvent("grants_not_returned", "partition", partition, "grants", len(returns), "cause", err)
	}
}

func (g *Gateway) sendReturns(ctx context.Context, q returnRequest) error {
	address, self, known := g.owner.AddressOf(q.Partition)
	if !known {
		return g.refuse(fault.ProgramMoved, "home", "the owner of partition %d is unknown", q.Partition)
	}
	if self {
		_, err := g.takeReturns(ctx, q)
		return err
	}
	_, err := callPeer[struct{}](ctx, g.peers, address, returnsPath, q)
	return err
}

// releaseProgram answers a home that needs the unused tokens of a program.
func (g *Gateway) releaseProgram(_ context.Context, q recallRequest) (recallAnswer, error) {
	_, returns := g.allowances.release(turns.Ref{Workspace: q.Workspace, ID: q.Program})
	return recallAnswer{Returns: returns}, nil
}
