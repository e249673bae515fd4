package gate

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/sched/roster"
)

// TestPickedUpstreamThatDrainsGetsNoRequest guards against a request that waits for a connection or for processor time
// after its upstream was picked, and reaches it after the upstream began to drain.
func TestPickedUpstreamThatDrainsGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		u := roster.Upstream{Instance: "x", Incarnation: 1, Address: "x:1", Service: "plain", DataCentre: "a", Slots: 4}
		g.roster.Update(u)
		a := coldAttempts("plain")
		picked, ok := g.pick(a, "", 0)
		is.True(ok)
		is.NoErr(g.checkSend(a, picked))
		u.Draining = true
		g.roster.Update(u)
		err := g.checkSend(a, picked)
		is.True(errors.Is(err, errUpstreamClosed))
		is.Equal(unsentOutcome(err), roster.Abandoned) // It is not taken for unreachable.
	})
}
