package gate

import (
	"context"
	"sync"
	"time"

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
	// renewing says that a request for more tokens is in progress that no turn waits for.
	renewing bool
}

func newAllowances() *allowances { return &allowances{m: make(map[turns.Ref]*programAllowance)} }

// reserve reserves the tokens of a turn. Renew means that more should be asked for before the next turn.
func (a *allowances) reserve(ref turns.Ref, tokens int64, now time.Time) (ok, started, renew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, known := a.m[ref]
	if !known {
		return false, false, false
	}
	if p.value, ok = p.value.Reserve(tokens); !ok {
		return false, p.started, false
	}
	started = p.started
	p.started, p.lastUsed = true, now
	if p.value.Free() < tokens && !p.renewing {
		p.renewing, renew = true, true
	}
	return true, started, renew
}

// add records a grant.
func (a *allowances) add(ref turns.Ref, partition int, g grantAnswer, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.m[ref]
	if !ok {
		p = &programAllowance{}
		a.m[ref] = p
	}
	p.value, p.partition, p.lastUsed = p.value.WithGrant(g.ID, g.Tokens), partition, now
	p.started = p.started || g.Started
}

// renewed records the end of a request that no turn waited for.
func (a *allowances) renewed(ref turns.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.m[ref]; ok {
		p.renewing = false
	}
}

// end ends a turn that had reserved tokens and used some of them. A program that used none has not started.
func (a *allowances) end(ref turns.Ref, reserved, used int64, startedBefore bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.m[ref]
	if !ok {
		return
	}
	p.value, p.lastUsed = p.value.WithEnd(reserved, used), time.Now()
	if used == 0 && !startedBefore && !p.value.Running() {
		p.started = false
	}
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
	if p.value.Empty() && !p.renewing {
		delete(a.m, ref)
	}
	return p.partition, returns
}

// releaseIdle gives up the unused tokens of programs that ran no turn since the given time, by partition.
func (a *allowances) releaseIdle(since time.Time) map[int][]allow.Return {
	a.mu.Lock()
	var idle []turns.Ref
	for ref, p := range a.m {
		if p.lastUsed.Before(since) && !p.value.Running() {
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

// len returns the number of programs with an allowance.
func (a *allowances) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.m)
}

// returnIdle returns the tokens of programs that ran no turn since the given time to their homes. Tokens whose return
// does not arrive count as spent.
func (g *Gateway) returnIdle(ctx context.Context, since time.Time) {
	for partition, returns := range g.allowances.releaseIdle(since) {
		g.group.Go(func(context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			if err := g.sendReturns(ctx, returnRequest{Partition: partition, Returns: returns}); err != nil {
				g.logEvent("grants_not_returned", "partition", partition, "grants", len(returns), "cause", err)
			}
			return nil
		})
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
