package rate

import "time"

// Lease tells whether a process may use its slot. It is immutable. It is timed by the holder's own clock, from before
// a renewal was sent, so that clocks need not be synchronized.
type Lease struct {
	expires time.Time
	// FirstHolder says that no earlier holder can have spent from the slot, so that its buckets may start full.
	FirstHolder bool
	// lastRenewal is when the last renewal that the log accepted was sent.
	lastRenewal time.Time
	// heldSince is the start of the current uninterrupted period in which the lease was held.
	heldSince time.Time
}

// WithRenewal returns the lease after the log accepted a renewal that was sent at the given time.
func (l Lease) WithRenewal(sent time.Time, length time.Duration, firstHolder bool) Lease {
	if l.expires.IsZero() {
		l.FirstHolder = firstHolder
	}
	if !l.Valid(sent) {
		l.heldSince = time.Now()
	}
	l.expires, l.lastRenewal = sent.Add(length), sent
	return l
}

// WithVouch returns the lease after another holder vouched for it during an outage of the log. An expired lease is
// not revived, since the other holder may not know of a successor. A lease is not extended beyond maxSinceRenewal
// after the last renewal, because from then on a successor may claim the slot without asking.
func (l Lease) WithVouch(asked time.Time, length, maxSinceRenewal time.Duration) Lease {
	if !l.Valid(asked) || asked.Add(length).After(l.lastRenewal.Add(maxSinceRenewal)) {
		return l
	}
	if u := asked.Add(length); u.After(l.expires) {
		l.expires = u
	}
	return l
}

// Valid reports whether the slot may be used. The lease has ended as soon as either clock says so: the monotonic clock
// stands still while the machine is suspended, and the time of day may be set back.
func (l Lease) Valid(now time.Time) bool {
	return now.Before(l.expires) && now.Round(0).Before(l.expires.Round(0))
}

// Expires returns when the lease ends unless it is renewed.
func (l Lease) Expires() time.Time { return l.expires }

// Since returns the start of the current uninterrupted period in which the lease was held.
func (l Lease) Since() time.Time { return l.heldSince }

// EverHeld reports whether the slot was ever held.
func (l Lease) EverHeld() bool { return !l.expires.IsZero() }

// WithRelease returns the lease after the holder released it.
func (l Lease) WithRelease() Lease {
	l.expires = time.Unix(0, 1)
	return l
}
