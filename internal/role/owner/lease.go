package owner

import (
	"slices"
	"time"

	"galenaward.example/galenaward/internal/state/store"
)

// renewLease extends the lease on this process's assignments after the store answered a heartbeat that was sent at the
// given time: from its arrival on, the store gives none of them to another member for memberTTL, unless this process
// acknowledges that. If the lease had ended, another member may have held them in between, and they count as new.
func (o *Owner) renewLease(sent time.Time, a store.Assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lease.Valid(sent) {
		for id := range o.assignedSince {
			if !slices.Contains(a.Partitions, id) {
				delete(o.assignedSince, id)
			}
		}
	}
	o.extendLease(sent, memberTTL)
}

// ExtendLease extends the lease while the store is away, after all other processes said at the given time or later that
// none of this process's assignments is theirs.
func (o *Owner) ExtendLease(asked time.Time, length time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.extendLease(asked, length)
}

// extendLease extends the lease. The caller holds the lock.
func (o *Owner) extendLease(sent time.Time, length time.Duration) {
	if sent.Add(length).After(o.lease.Expires()) {
		o.lease = o.lease.WithRenewal(sent, length, false)
	}
}

// LeaseExpires returns when this process's assignments may pass to others unless its lease is extended; zero if it never
// had one.
func (o *Owner) LeaseExpires() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.Expires()
}

// LeasedSince returns since when the partition has been assigned to this process without interruption, and until when no
// other process can hold it.
func (o *Owner) LeasedSince(id int) (since, until time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok = o.assignedSince[id]
	if !ok || !o.lease.Valid(time.Now()) {
		return time.Time{}, time.Time{}, false
	}
	if held := o.lease.Since(); held.After(since) {
		since = held
	}
	return since, o.lease.Expires(), true
}
