package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/sched/learn"
	"galenaward.example/galenaward/internal/sched/permit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/wire/httpc"
)

// newColdGateway returns a gateway that holds no partition, with a service that has a limit for cold upstreams.
func newColdGateway(ctx context.Context) *Gateway {
	s := config.DefaultGateway()
	g := &Gateway{
		settings: s, roster: roster.New(), metrics: telem.NewMetrics(), peers: newPeerClient(s.ListenPeers),
		logger: log.NewNopLogger(), suspects: newCrashSuspects(),
	}
	g.group = group.New(ctx)
	g.owner = owner.New(g.group, nil, 1, s.ListenPeers)
	g.rates, g.permits = newRates(g), newPermits(g)
	g.distances.Store(new(learn.Distances))
	g.layout.Store(layout.New(layout.Layout{Services: []layout.Service{
		{Name: "slow", Cold: &layout.Cold{Start: time.Minute, PerSecond: 28}}, {Name: "plain"},
	}}))
	return g
}

func coldAttempts(service string) *attempts {
	return &attempts{service: service, job: &job{
		call: &Call{}, deadline: time.Now().Add(10 * time.Second), route: layout.Route{MaxAttempts: 3},
	}}
}

// announce announces an upstream that is cold for a minute.
func (g *Gateway) announce(instance, service string, cold bool) {
	u := roster.Upstream{Instance: instance, Service: service, Slots: 8, HeardAt: time.Now().Add(-time.Minute)}
	if cold {
		u.ColdFor = 2 * time.Minute
	}
	g.roster.Update(u)
}

// TestRequestWithoutPermitGoesToAWarmUpstream guards against requests to cold upstreams without a permit, and against
// requests that wait for one while a warm upstream is left.
func TestRequestWithoutPermitGoesToAWarmUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		g.announce("cold", "slow", true)
		g.announce("warm", "slow", false)
		began := time.Now()
		for range 30 { // The warm upstream becomes full.
			a := coldAttempts("slow")
			u, ok := g.pickOrWait(t.Context(), a, "", 0)
			is.True(ok)
			is.Equal(u.Instance, "warm")
			is.True(a.permit == nil)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(g.permits.wake), 1) // It was asked for in the background.

		g.permits.borrowers["cold"] = permit.Borrower{}.WithGrant(time.Now(), permit.Grant{Permits: 1}, time.Now())
		a := coldAttempts("slow")
		u, _ := g.pickOrWait(t.Context(), a, "", 0)
		is.Equal(u.Instance, "cold")
		is.NoErr(g.checkSend(a, u))
		is.Equal(g.metrics.Get("permits_used"), int64(1))
		time.Sleep(permit.Validity)
		is.True(errors.Is(g.checkSend(a, u), errPermitExpired)) // The connection took too long.
		a = coldAttempts("slow")
		u, _ = g.pickOrWait(t.Context(), a, "", 0)
		is.Equal(u.Instance, "warm")
		is.NoErr(g.checkSend(a, u))
	})
}

// TestRequestWaitsIfOnlyColdUpstreamsAreLeft guards against a refusal where a permit is due at once, against a long wait
// where none is, and against a refusal without the time at which one is due.
func TestRequestWaitsIfOnlyColdUpstreamsAreLeft(t *testing.T) {
	tests := []struct {
		name   string
		answer permit.Grant
		// took is how long the request takes to be sent or refused, due when a permit may be asked for.
		took, due time.Duration
		picked    bool
	}{
		{"a permit is granted", permit.Grant{Permits: 1}, 10 * time.Millisecond, 0, true},
		{"none is due in time", permit.Grant{Refused: 1, RetryAfter: time.Second}, 10 * time.Millisecond, time.Second, false},
		{"one is due, but not granted", permit.Grant{Refused: 1, RetryAfter: 100 * time.Millisecond}, permitWait, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g := newColdGateway(ctx)
				g.announce("cold", "slow", true)
				began := time.Now()
				g.group.Go(func(context.Context) error { // The allocator answers once.
					time.Sleep(10 * time.Millisecond)
					q := permitMessage{asks: []permitAsk{{Instance: "cold", Service: "slow", Permits: 1}}}
					g.permits.record(q, permitAnswer{Grants: []permitGrant{{
						Instance: "cold", Permits: tt.answer.Permits, Refused: tt.answer.Refused,
						RetryAfterMS: float64(tt.answer.RetryAfter.Milliseconds()),
					}}}, began, time.Now())
					return nil
				})
				a := coldAttempts("slow")
				_, ok := g.pickOrWait(ctx, a, "", 0)
				is.Equal(ok, tt.picked)
				is.Equal(time.Since(began), tt.took)
				is.Equal(a.permitDue, tt.due)
				is.Equal(errors.Is(a.lastErr, errNoPermit), !tt.picked)
				is.NoErr(g.group.Wait())
			})
		})
	}
}

// TestPlainServiceNeedsNoPermits guards against messages and waits for services without a limit.
func TestPlainServiceNeedsNoPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		g.announce("p", "plain", true)
		a := coldAttempts("plain")
		u, ok := g.pickOrWait(t.Context(), a, "", 0)
		is.True(ok)
		is.Equal(u.Instance, "p")
		is.True(a.permit == nil)
		is.Equal(len(g.permits.wake), 0)
		is.Equal(g.coldUpstreams(), int64(0))
	})
}

// TestPermitsOfAFormerLease guards against an allocator that goes on with its tokens although another process may have
// granted permits in between, and against a message that was delayed since an earlier lease.
func TestPermitsOfAFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		first := time.Now()
		time.Sleep(10 * time.Second)
		grant := func(since time.Time) (int, bool) {
			got, _, ok := g.permits.grant(permitTerms{instance: "x", since: since, perSecond: 28}, 10, time.Now())
			return got.Permits, ok
		}
		n, ok := grant(first)
		is.True(ok)
		is.Equal(n, int(permit.Burst))
		second := time.Now()
		time.Sleep(predecessorOverlap)
		n, ok = grant(second)
		is.True(ok)
		is.Equal(n, 0) // The bucket starts empty.
		_, ok = grant(first)
		is.True(!ok)
		time.Sleep(time.Second)
		g.permits.sweep(time.Now())
		is.Equal(len(g.permits.allocators), 0)
		n, _ = grant(second)
		is.Equal(n, int(permit.Burst))
		g.permits.sweep(time.Now())
		is.Equal(len(g.permits.allocators), 1)
	})
}

// TestPermitsNeedTheLease guards against permits from a process that does not hold the upstream's partition, and from one
// without a limit in its configuration.
func TestPermitsNeedTheLease(t *testing.T) {
	is := is.New(t)
	g := newColdGateway(t.Context())
	a, err := g.grantPermits(t.Context(), permitRequest{From: "p", Asks: []permitAsk{{Instance: "x", Service: "slow", Permits: 1}}})
	is.NoErr(err)
	is.Equal(a.Grants, []permitGrant{{Instance: "x", Moved: true}})
	g.layout.Store(layout.New(layout.Layout{Services: []layout.Service{{Name: "slow"}}}))
	_, err = g.grantPermits(t.Context(), permitRequest{From: "p"})
	is.True(err != nil)
}

// TestMessagesAreBounded guards against control traffic that grows with the requests, and against permit requests that are
// never sent.
func TestMessagesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		asked, upstreams := 0, 0
		for i := range 1000 {
			if n := 1 + i%maxAsks; g.permits.mayAsk(n, time.Now()) {
				asked++
				upstreams += n
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(asked*permitMessageBytes+upstreams*permitAskBytes <= 10*permitTraffic+permitTraffic)
		is.True(asked > 0)
		is.True(permitMessageBytes+maxAsks*permitAskBytes <= permitTraffic) // The largest message is sent at some time.
		g.permits.want("x", "slow")
		is.Equal(len(g.permits.messagesToSend(time.Now())), 0) // No holder is known.
		is.Equal(g.permits.borrowers["x"].DueIn(time.Now()), 250*time.Millisecond)
	})
}

// TestExpiredPermitIsNoFaultOfTheUpstream guards against a backoff of an upstream to which nothing was sent.
func TestExpiredPermitIsNoFaultOfTheUpstream(t *testing.T) {
	is := is.New(t)
	is.Equal(unsentOutcome(errors.Mark(errors.Wrap(errPermitExpired, "send"), httpc.ErrUnsent)), roster.Abandoned)
	is.Equal(unsentOutcome(errors.Mark(errors.New("refused"), httpc.ErrUnsent)), roster.Unreachable)
}
