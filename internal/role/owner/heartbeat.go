package owner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// HeartbeatNow sends the next heartbeat at once. Peers ask for it when they see the group change.
func (o *Owner) HeartbeatNow() {
	select {
	case o.heartbeatNow <- struct{}{}:
	default:
	}
}

// heartbeat renews the membership, applies the assignment and reports whether the group changed.
func (o *Owner) heartbeat(ctx context.Context) (changed bool) {
	generation, a, err := o.join(ctx)
	if errors.Is(err, errLeaving) {
		return false
	}
	if err != nil {
		if o.missedHeartbeats++; o.missedHeartbeats == missedHeartbeatsWarn && ctx.Err() == nil {
			o.logEvent("membership_unconfirmed", "generation", generation, "missed", o.missedHeartbeats, "cause", err)
		}
		return false
	}
	if o.missedHeartbeats > 0 {
		o.timeouts.markReturned()
	}
	if o.missedHeartbeats >= missedHeartbeatsWarn {
		o.logEvent("membership_confirmed", "generation", a.Generation, "missed", o.missedHeartbeats)
	}
	o.missedHeartbeats = 0
	if o.settling(time.Now()) {
		o.logEvent("settling", "generation", a.Generation, "partitions", len(a.Partitions))
		return true
	}
	if p := o.stalledLoss(a, time.Now()); p != nil {
		o.logEvent("assignment_deferred", "generation", a.Generation, "partition", p.id)
		return false
	}
	o.assign(a)
	if a.Generation == generation {
		return false
	}
	o.logEvent("generation", "from", generation, "to", a.Generation, "partitions", len(a.Partitions))
	o.readOwners(ctx)
	return true
}

// settling reports whether the store answers heartbeats again after this membership lapsed, at most settleTime ago.
// Other members have probably lapsed too and return one after another, and each return reassigns partitions. Until they
// have settled, holders keep their partitions, so that what they have queued is appended before the next holder fences
// them.
func (o *Owner) settling(now time.Time) bool {
	if lapsed := !o.heartbeatAt.IsZero() && now.Sub(o.heartbeatAt) > memberTTL; lapsed {
		o.settleUntil = now.Add(settleTime)
	}
	o.heartbeatAt = now
	return now.Before(o.settleUntil)
}

// stalledLoss returns a partition that the assignment takes away while the store confirms no appends to it; nil if there
// is none. No other member can open it, so it stays here: as long as this process does not acknowledge the generation,
// the store goes on naming it as the holder.
func (o *Owner) stalledLoss(a store.Assignment, now time.Time) *Partition {
	for _, p := range o.HeldPartitions() {
		if !slices.Contains(a.Partitions, p.id) && p.stalled(now) {
			return p
		}
	}
	return nil
}

// join sends one heartbeat and returns the generation that it acknowledged.
func (o *Owner) join(ctx context.Context) (generation int64, a store.Assignment, err error) {
	o.membershipSem <- struct{}{}
	defer func() { <-o.membershipSem }()
	o.mu.Lock()
	generation, leaving := o.generation, o.leaving
	o.mu.Unlock()
	if leaving {
		return generation, a, errLeaving
	}
	sent := time.Now()
	a, err = overlapping[store.Assignment]{
		interval: func(int) time.Duration { return o.timeouts.timeout() },
		attempt: func(ctx context.Context) (store.Assignment, error) {
			return o.store.Join(ctx, o.member, generation, memberTTL)
		},
		final: func(err error) bool { return err == nil },
	}.call(ctx)
	if err == nil {
		o.renewLease(sent, a)
	}
	return generation, a, err
}
