package owner

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/state/store"
)

// RefreshOwners reads the partition holders from the store unless they were read within minRefreshInterval. Concurrent
// callers share one read.
func (o *Owner) RefreshOwners(ctx context.Context) {
	o.mu.Lock()
	recent := time.Since(o.refreshedAt) < minRefreshInterval
	o.mu.Unlock()
	if recent {
		return
	}
	done := o.refreshing.DoChan("", func() (any, error) {
		o.readOwners(o.group.Context())
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// readOwners reads the partition holders from the store.
func (o *Owner) readOwners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, err := o.store.Owners(ctx)
	o.mu.Lock()
	o.refreshedAt = time.Now()
	o.mu.Unlock()
	if err != nil {
		o.logEvent("owners_unread", "cause", err)
		return
	}
	o.setHolders(owners)
}

// setHolders replaces the known holders of all partitions.
func (o *Owner) setHolders(owners []store.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holders = make(map[int]string, len(owners))
	for _, ow := range owners {
		o.holders[ow.Partition] = ow.Member
	}
}

// Expel ends the membership of the process at address, where nothing listens any more, so that its partitions are
// reassigned at once. If the process is still running, it is fenced and joins again.
func (o *Owner) Expel(ctx context.Context, address string) {
	o.mu.Lock()
	member := ""
	for _, m := range o.holders {
		if addressOf(m) == address && m != o.member && time.Since(o.expelledAt[m]) > minExpelInterval {
			member = m
		}
	}
	if member != "" {
		o.expelledAt[member] = time.Now()
	}
	o.mu.Unlock()
	if member == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := o.store.Leave(ctx, member)
	o.logEvent("member_expelled", "member", member, "cause", err)
	o.HeartbeatNow()
}
