package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/store"
)

func everyMinTimeout(int) time.Duration { return minTimeout }

// TestReturnOfTheStoreIsNoticedWithinOneInterval guards against a second wait after an outage: calls that began while
// the store was silent are never answered, and the next one was only made when they had timed out.
func TestReturnOfTheStoreIsNoticedWithinOneInterval(t *testing.T) {
	for _, outage := range []time.Duration{150 * time.Millisecond, 700 * time.Millisecond, 4300 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				silentUntil := began.Add(outage)
				attempt := func(ctx context.Context) (struct{}, error) {
					if time.Now().Before(silentUntil) {
						<-ctx.Done()
						return struct{}{}, store.ErrOutcomeUnknown
					}
					return struct{}{}, nil
				}
				for {
					if _, err := (overlapping[struct{}]{
						interval: everyMinTimeout, attempt: attempt, final: isFinalAppend,
					}).call(t.Context()); err == nil {
						break
					}
				}
				is.True(time.Since(silentUntil) <= minTimeout)
			})
		})
	}
}

// TestSlowStoreIsAnsweredInTime guards against a store that has become very slow and is never heard, since each attempt
// is abandoned before its answer arrives.
func TestSlowStoreIsAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const latency = maxTimeout - 100*time.Millisecond
		began := time.Now()
		_, err := overlapping[struct{}]{
			interval: everyMinTimeout, final: isFinalAppend,
			attempt: func(ctx context.Context) (struct{}, error) {
				select {
				case <-time.After(latency):
					return struct{}{}, nil
				case <-ctx.Done():
					return struct{}{}, ctx.Err()
				}
			},
		}.call(t.Context())
		is.NoErr(err)
		is.Equal(time.Since(began), latency)
	})
}

// TestFencedAppendIsNotRepeated checks that a final answer ends all attempts at once.
func TestFencedAppendIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		attempts := 0
		_, err := overlapping[struct{}]{
			interval: everyMinTimeout, final: isFinalAppend,
			attempt: func(context.Context) (struct{}, error) {
				attempts++
				return struct{}{}, store.ErrFenced
			},
		}.call(t.Context())
		is.True(err != nil)
		is.Equal(attempts, 1)
	})
}
