package gate

import (
	"context"
	"slices"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/layout"
)

// allocatorState is a rate for which this process is the allocator.
type allocatorState struct {
	allocator rate.Allocator
	// since is since when this process has held the lease on the workspace's partition. If another process may have held
	// it in between, the allocator starts afresh.
	since time.Time
	// grantedAt is when the allocator last decided on a request.
	grantedAt time.Time
}

// allocated returns the partitions whose rates this process has allocated lately.
func (r *rates) allocated(now time.Time) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var partitions []int
	for name, al := range r.allocators {
		p := r.allocatorPartition(name)
		if now.Sub(al.grantedAt) < allocatorIdle && r.gateway.owner.Assigned(p) && !slices.Contains(partitions, p) {
			partitions = append(partitions, p)
		}
	}
	return partitions
}

// recentBorrowers returns the peer addresses of the gateways that borrowed from this process lately.
func (r *rates) recentBorrowers(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address, at := range r.borrowers {
		if now.Sub(at) > borrowerTTL {
			delete(r.borrowers, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// grantTokens handles a borrow request if this process is the allocator of the workspace's rate.
func (g *Gateway) grantTokens(_ context.Context, q borrowRequest) (rate.Grant, error) {
	since, until, ok := g.owner.LeasedSince(g.rates.allocatorPartition(q.Workspace))
	if !ok {
		return rate.Grant{}, g.refuse(fault.ProgramMoved, "borrow",
			"this process does not allocate the rate of workspace %q", q.Workspace)
	}
	w, ok := g.layout.Load().Workspace(q.Workspace)
	if !ok {
		return rate.Grant{}, g.refuse(fault.UnknownWorkspace, "borrow", "workspace %q is unknown", q.Workspace)
	}
	p, held := g.owner.HeldPartition(g.rates.allocatorPartition(q.Workspace))
	first := held && p.WasEmpty() && g.settings.FirstStart
	g.rates.recordBorrower(q.From)
	return g.rates.grant(since, first, w, q.TokenRequest.WithinLease(time.Until(until))), nil
}

func (r *rates) recordBorrower(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.borrowers[address] = time.Now()
}

// grant decides on a request as the allocator since the given time. First means that the rate never had another
// allocator.
func (r *rates) grant(since time.Time, first bool, w layout.Workspace, a rate.TokenRequest) rate.Grant {
	if w.RatePerSecond <= 0 {
		return rate.Grant{Waits: make([]float64, a.Waiting)} // The limit was removed after the gateway sent its request.
	}
	now := time.Now()
	quota := rate.Quota{Rate: w.RatePerSecond, Burst: max(1, w.Burst)}
	r.mu.Lock()
	defer r.mu.Unlock()
	al, ok := r.allocators[w.Name]
	if !ok || !al.since.Equal(since) {
		// The former allocator may have granted all tokens that accrued until it last heard from the store.
		level := quota.Rate * max(0, now.Sub(since)-predecessorOverlap).Seconds()
		if first {
			level = quota.Burst
		}
		al = &allocatorState{allocator: rate.NewAllocator(quota, level, now), since: since}
		r.allocators[w.Name] = al
	}
	al.grantedAt = now
	var g rate.Grant
	al.allocator, g = al.allocator.WithQuota(quota).Grant(a, now)
	return g
}
