package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/turns"
)

// TestRetentionCountsFromTheEndThatIsTold guards against a turn that is unknown before its retention is over, since the
// retention began when its record was queued, and the store took it seconds later.
func TestRetentionCountsFromTheEndThatIsTold(t *testing.T) {
	const (
		retention = time.Minute
		callTime  = 4 * time.Second
		outage    = 2800 * time.Millisecond
	)
	ref := turns.Ref{Workspace: "w", ID: "t"}
	tests := []struct {
		name string
		// restarts is how often the holder is killed and another one starts, 5 s apart.
		restarts int
		// goneAfter is when the turn must be gone at the latest, counted from the end that was told.
		goneAfter time.Duration
	}{
		{"same holder", 0, retention + callTime + 5*time.Second},
		{"another holder after a kill", 1, retention + 6*time.Minute},
		{"several holders one after another", 4, retention + 6*time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeStore(1)
				o, p := startHolder(t, f)
				defer func() { o.stop() }()
				b, err := p.Begin(recordedClaimOf("p"), turns.Ref{Workspace: "w"}, callTime, time.Now())
				is.NoErr(err)
				is.NoErr(p.Await(t.Context(), b.Ticket))
				f.setFaults(true, false)
				time.AfterFunc(outage, func() { f.setFaults(false, false) })
				now := time.Now()
				ticket, err := p.Finish(b, turnOf("t", "").WithRetention(retention, now.Add(callTime), now), 50, now)
				is.NoErr(err)
				is.NoErr(p.Await(t.Context(), ticket))
				told := time.Now()
				is.True(told.Sub(now) >= outage) // Else the case was not reached.
				for range tt.restarts {
					time.Sleep(5 * time.Second)
					o.stop()
					o, p = startHolder(t, f)
				}
				time.Sleep(time.Until(told.Add(retention - 300*time.Millisecond)))
				_, err = p.Chain(ref)
				is.NoErr(err)
				time.Sleep(time.Until(told.Add(tt.goneAfter)))
				_, err = p.Chain(ref)
				is.True(errors.Is(err, turns.ErrUnknownTurn))
			})
		})
	}
}
