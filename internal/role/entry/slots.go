package entry

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/confio"
	"galenaward.example/galenaward/internal/state/prog"
)

const (
	// renewalsPerLease is the number of renewals within the length of a lease.
	renewalsPerLease = 3
	// driftDivisor sets the margin for clock drift: a successor waits for the length of the lease and a tenth of it.
	driftDivisor = 10
)

// slotClaimer claims this entry's slot in the log and renews its lease.
type slotClaimer struct {
	instance      string
	slot          int64
	lease         time.Duration
	maxOutage     time.Duration
	voucherClient voucherClient
	follower      *confio.Follower
	store         *conf.Store
	limiter       *limiter
	logger        log.Logger

	// seen is the newest renewal by another holder; seenAt is when this process first read it.
	seen   conf.Slot
	seenAt time.Time
}

// Run claims the slot and renews the lease until ctx is done.
func (c *slotClaimer) Run(ctx context.Context) error {
	for {
		wait := c.step(ctx)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
	}
}

// step claims the slot or renews the lease if that is allowed, and returns the time until the next step.
func (c *slotClaimer) step(ctx context.Context) time.Duration {
	if c.store.State().Version == 0 && c.follower.SinceLogRead() > time.Second {
		return slotPollInterval
	}
	cur := c.store.State().Slots[c.slot]
	if wait := c.waitFor(cur, time.Now()); wait > 0 {
		return min(wait, slotPollInterval)
	}
	if c.heldByOtherVM(cur) && !c.clear(ctx) && time.Since(c.seenAt) < c.maxOutage+c.lease {
		return slotPollInterval
	}
	if c.propose(ctx, cur, c.instance) {
		return c.lease / renewalsPerLease
	}
	if cur.Holder == c.instance {
		c.renewByVouch(ctx)
	}
	return slotPollInterval
}

// clear reports whether every holder of another slot has answered that it has not vouched for this slot's holder for
// longer than the lease.
func (c *slotClaimer) clear(ctx context.Context) bool {
	wait := c.lease + c.lease/driftDivisor
	for n, s := range c.store.State().Slots {
		if n == c.slot || s.Holder == "" {
			continue
		}
		since, err := c.voucherClient.LastVouched(ctx, n, c.slot)
		if err != nil || since < wait {
			return false
		}
	}
	return true
}

// renewByVouch extends the lease while the log does not answer, if the holder of any other slot vouches for it.
func (c *slotClaimer) renewByVouch(ctx context.Context) {
	for n, s := range c.store.State().Slots {
		if n == c.slot || s.Holder == "" {
			continue
		}
		asked := time.Now()
		if c.voucherClient.Vouch(ctx, n, c.slot, c.instance) {
			c.limiter.SetLease(c.limiter.Lease().WithVouch(asked, c.lease, c.maxOutage), false)
			return
		}
	}
}

const slotPollInterval = 200 * time.Millisecond

// voucherClient asks the holder of one slot about the holder of another.
type voucherClient interface {
	// Vouch reports whether the holder of slot confirms that the slot about is held by the instance.
	Vouch(ctx context.Context, slot, about int64, instance string) bool
	// LastVouched returns the time since a holder of slot last vouched for a holder of the slot about.
	LastVouched(ctx context.Context, slot, about int64) (time.Duration, error)
}

// heldByOtherVM reports whether a process on another VM holds the slot.
func (c *slotClaimer) heldByOtherVM(cur conf.Slot) bool {
	return cur.Holder != "" && prog.VMOf(cur.Holder) != prog.VMOf(c.instance)
}

// waitFor returns for how long the lease of a holder on another VM may still be valid. An earlier process on this VM
// needs no wait: it has ended, since this process could listen on its address.
func (c *slotClaimer) waitFor(cur conf.Slot, now time.Time) time.Duration {
	if !c.heldByOtherVM(cur) {
		return 0
	}
	if c.seen != cur {
		c.seen, c.seenAt = cur, now
	}
	length := time.Duration(cur.LeaseMS) * time.Millisecond
	return c.seenAt.Add(length + length/driftDivisor).Sub(now)
}

// propose appends a claim, renewal or release to the log and reports whether it was accepted.
func (c *slotClaimer) propose(ctx context.Context, cur conf.Slot, holder string) bool {
	ctx, cancel := context.WithTimeout(ctx, min(proposeTimeout, c.lease/renewalsPerLease))
	defer cancel()
	sent := time.Now()
	_, err := c.follower.Propose(ctx, conf.Record{Slot: &conf.Slot{
		Number: c.slot, Holder: holder, Previous: cur.Holder, SeenRenewals: cur.Renewals,
		LeaseMS: c.lease.Milliseconds(),
	}})
	if err != nil {
		telem.Debug(c.logger, "slot_not_renewed", "slot", c.slot, "err", err)
		return false
	}
	if holder == "" {
		return true
	}
	if cur.Holder != c.instance {
		telem.Info(c.logger, "slot_claimed", "slot", c.slot, "previous", cur.Holder)
	}
	lease := c.limiter.Lease().WithRenewal(sent, c.lease, cur.Renewals == 0)
	c.limiter.SetLease(lease, cur.Holder != c.instance && cur.Renewals > 0)
	return true
}

// Release gives up the slot, so that a successor does not have to wait for the lease to expire.
func (c *slotClaimer) Release(ctx context.Context) {
	cur := c.store.State().Slots[c.slot]
	if cur.Holder == c.instance {
		c.limiter.SetLease(c.limiter.Lease().WithRelease(), true)
		c.propose(ctx, cur, "")
	}
}
