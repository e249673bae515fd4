package turns

import "time"

const (
	// deliveryMargin is added to the retention of a turn for the way of its end to the caller and of the next turn back.
	deliveryMargin = 2 * time.Second
	// maxClockError bounds how long a turn outlives ExpiresAt while holders follow one another, each of which keeps it for
	// its whole retention again. Clocks may differ by as much without a turn being lost.
	maxClockError = 5 * time.Minute
)

// WithRetention returns the turn with the given retention. Its end is reported to the caller at reportBy at the
// latest, after the record is durable, and the retention counts from there.
func (t Turn) WithRetention(retention time.Duration, reportBy, now time.Time) Turn {
	kept := max(0, reportBy.Sub(now)) + retention + deliveryMargin
	t.KeptMS = kept.Milliseconds()
	t.ExpiresAt = now.Add(kept).UnixMilli()
	return t
}

// keptUntil returns until when a holder keeps the turn that learns of it now. Another holder may have recorded it, whose
// clock may differ, so ExpiresAt alone does not shorten the retention.
func (t Turn) keptUntil(now time.Time) time.Time {
	left := time.UnixMilli(t.ExpiresAt).Sub(now)
	if t.KeptMS == 0 {
		return now.Add(left)
	}
	return now.Add(min(left+maxClockError, time.Duration(t.KeptMS)*time.Millisecond))
}
