package owner

import (
	"context"
	"slices"
	"time"
)

// withdrawIfIsolated ends the membership while this process is isolated from the store, and reports whether it is. An
// isolated process reads the partition holders through its peers.
func (o *Owner) withdrawIfIsolated(ctx context.Context) bool {
	isolated := o.isolated()
	switch {
	case isolated && !o.withdrawn:
		o.logEvent("withdrawn", "member", o.member)
		o.withdraw(ctx)
	case !isolated && o.withdrawn:
		o.logEvent("returned", "member", o.member)
	case isolated:
		o.readOwners(ctx)
	}
	o.withdrawn = isolated
	return isolated
}

// AwaitStore waits while the store does not confirm the appends of a partition that this process holds, until ctx ends.
// No other process can take such a partition over, so leaving then would only interrupt its turns.
func (o *Owner) AwaitStore(ctx context.Context) {
	poll := time.NewTicker(handoverPollInterval)
	defer poll.Stop()
	for slices.ContainsFunc(o.HeldPartitions(), func(p *Partition) bool { return p.stalled(time.Now()) }) {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// Leave hands over all partitions and ends the membership for good. While the store confirms no appends or does not end
// the membership, it keeps the partitions, until ctx ends.
func (o *Owner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	for {
		o.AwaitStore(ctx)
		held := o.HeldPartitions()
		o.drain(held)
		if o.leave() || ctx.Err() != nil {
			break
		}
		for _, p := range held {
			p.reopen()
		}
		select {
		case <-time.After(leaveRetryInterval):
		case <-ctx.Done():
		}
	}
	o.dropAll(ctx)
}

// withdraw gives up all partitions and ends the membership until Run joins the group again.
func (o *Owner) withdraw(ctx context.Context) {
	o.drain(o.HeldPartitions())
	o.leave()
	o.dropAll(ctx)
}

// dropAll releases all partitions after the end of the membership.
func (o *Owner) dropAll(ctx context.Context) {
	o.mu.Lock()
	clear(o.assignedSince)
	o.mu.Unlock()
	o.release(o.HeldPartitions())
	o.readOwners(ctx)
}

// leave ends the membership and reports whether the store confirmed that.
func (o *Owner) leave() bool {
	o.membershipSem <- struct{}{}
	defer func() { <-o.membershipSem }()
	ctx, cancel := context.WithTimeout(o.group.Context(), callTimeout)
	defer cancel()
	err := o.store.Leave(ctx, o.member)
	if err != nil {
		o.logEvent("leave_failed", "cause", err)
	}
	return err == nil
}
