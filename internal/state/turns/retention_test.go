package turns

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClockOfTheNextHolderDoesNotEndRetention guards against a turn that is dropped early by a holder whose clock is ahead
// of the clock of the holder that recorded it, and against one that is kept for ever while holders follow one another.
func TestClockOfTheNextHolderDoesNotEndRetention(t *testing.T) {
	const retention = time.Minute
	tests := []struct {
		name string
		// ahead is how far the next holder's clock is ahead when it reads the record, right after it was written.
		ahead, kept time.Duration
	}{
		{"same clock", 0, retention + deliveryMargin},
		{"2 s ahead", 2 * time.Second, retention + deliveryMargin},
		{"2 s behind", -2 * time.Second, retention + deliveryMargin},
		{"2 min ahead", 2 * time.Minute, retention + deliveryMargin},
		{"ahead by more than clocks may differ", retention + deliveryMargin + maxClockError + time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rec := encodeTurn(turn("a", "", "in", "out").WithRetention(retention, start, start))
			l := New()
			read := start.Add(tt.ahead)
			is.NoErr(l.Restore(rec, read))
			l.FinishRestore()
			if tt.kept > 0 {
				is.Equal(len(l.Expire(read.Add(tt.kept))), 0)
			}
			is.Equal(len(l.Expire(read.Add(tt.kept+time.Second))), 1)
		})
	}
}

// TestRestoredTurnWithoutItsRetentionExpiresAsRecorded checks records that do not say how long holders keep the turn.
func TestRestoredTurnWithoutItsRetentionExpiresAsRecorded(t *testing.T) {
	is := is.New(t)
	l := New()
	is.NoErr(l.Restore(encodeTurn(turn("a", "", "in", "out")), start.Add(30*time.Second)))
	l.FinishRestore()
	is.Equal(len(l.Expire(start.Add(time.Minute))), 0)
	is.Equal(len(l.Expire(start.Add(time.Minute+time.Millisecond))), 1)
}
