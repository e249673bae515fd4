package gate

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/sched/permit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
)

// capped returns what an answer of an upstream that accepts so many requests per second says.
func capped(perSecond float64) ResponseInfo {
	return ResponseInfo{Signed: true, RateCap: roster.RateCap{PerSecond: perSecond, InForce: true}}
}

// TestOnlyAnswersOfTheUpstreamSetItsCap guards against caps that are set or lifted by bytes that are no answer of the upstream, by
// an answer that breaks off, or by a malformed value.
func TestOnlyAnswersOfTheUpstreamSetItsCap(t *testing.T) {
	tests := []struct {
		name string
		info ResponseInfo
		// complete says that the answer does not break off.
		complete, want bool
	}{
		{"an answer", ResponseInfo{Signed: true}, true, false},
		{"an answer that breaks off", ResponseInfo{Signed: true}, false, true},
		{"a refusal", ResponseInfo{NotExecuted: true}, false, true},
		{"a lower cap", capped(1), true, true},
		{"no signature", ResponseInfo{}, true, true},
		{"another instance", ResponseInfo{Misdirected: true, NotExecuted: true}, true, true},
		{"malformed", ResponseInfo{Signed: true, InvalidRateCap: "-1"}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newColdGateway(t.Context())
				u := roster.Upstream{Instance: "x", Service: "plain", Slots: 4}
				g.roster.Update(u)
				a := coldAttempts("plain")
				g.observeRateCap(a, u, capped(2))
				is.True(g.roster.IsCapped("x"))
				time.Sleep(time.Millisecond)
				g.observeRateCap(a, u, tt.info)
				is.True(g.roster.IsCapped("x"))
				if tt.complete {
					g.recordAnswer(a, u, http.StatusOK)
				}
				is.Equal(g.roster.IsCapped("x"), tt.want)
				invalid := map[bool]int64{true: 1}[tt.info.InvalidRateCap != ""]
				is.Equal(g.metrics.Get("event_rate_cap_invalid"), invalid)
			})
		})
	}
}

// TestPickedUpstreamThatStatesACapGetsNoRequest guards against a request that waits for a connection after its upstream was
// picked, and reaches it without a permit after the upstream stated a cap.
func TestPickedUpstreamThatStatesACapGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		u := roster.Upstream{Instance: "x", Service: "plain", Slots: 4}
		g.roster.Update(u)
		a := coldAttempts("plain")
		picked, ok := g.pick(a, "", 0)
		is.True(ok)
		is.NoErr(g.checkSend(a, picked))
		g.observeRateCap(&attempts{}, u, capped(2))
		err := g.checkSend(a, picked)
		is.True(errors.Is(err, errPermitNeeded))
		is.Equal(unsentOutcome(err), roster.Abandoned)

		g.permits.borrowers["x"] = permit.Borrower{}.WithGrant(time.Now(),
			permit.Grant{Permits: 1, Validity: permit.CapValidity}, time.Now())
		time.Sleep(permit.CapValidity - 1)
		a = coldAttempts("plain")
		picked, ok = g.pick(a, "", 0)
		is.True(ok)
		is.NoErr(g.checkSend(a, picked))
		time.Sleep(time.Nanosecond)
		is.True(errors.Is(g.checkSend(a, picked), errPermitExpired))
	})
}

// TestRequestWaitsForTheBestUpstream guards against permits that expire unused since requests go elsewhere before they arrive,
// and against waits for an allocator that is known to grant none.
func TestRequestWaitsForTheBestUpstream(t *testing.T) {
	tests := []struct {
		name   string
		answer permit.Grant
		// lost means that no answer arrives.
		lost bool
		took time.Duration
		want string
	}{
		{"granted", permit.Grant{Permits: 1}, false, 10 * time.Millisecond, "idle"},
		{"refused", permit.Grant{Refused: 1, RetryAfter: time.Second}, false, 10 * time.Millisecond, "busy"},
		{"no answer", permit.Grant{}, true, capPermitWait, "busy"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g := newColdGateway(ctx)
				idle := roster.Upstream{Instance: "idle", Service: "plain", Slots: 4}
				g.roster.Update(idle)
				g.roster.Update(roster.Upstream{Instance: "busy", Service: "plain", Slots: 4})
				g.observeRateCap(&attempts{}, idle, capped(2))
				g.roster.RecordLoad("busy", roster.Load{Running: 4, Slots: 4}, time.Now())
				g.group.Go(func(context.Context) error { // The allocator.
					time.Sleep(10 * time.Millisecond)
					if !tt.lost {
						q := permitMessage{asks: []permitAsk{{Instance: "idle", Service: "plain", Permits: 1}}}
						g.permits.record(q, permitAnswer{Grants: []permitGrant{{
							Instance: "idle", Permits: tt.answer.Permits, Refused: tt.answer.Refused,
							RetryAfterMS: float64(tt.answer.RetryAfter.Milliseconds()),
						}}}, time.Now(), time.Now())
					}
					return nil
				})
				began := time.Now()
				u, ok := g.pickOrWait(ctx, coldAttempts("plain"), "", 0)
				is.True(ok)
				is.Equal(u.Instance, tt.want)
				is.Equal(time.Since(began), tt.took)
				is.NoErr(g.group.Wait())
				if tt.answer.RetryAfter > 0 { // Known by now.
					began = time.Now()
					_, ok = g.pickOrWait(ctx, coldAttempts("plain"), "", 0)
					is.True(ok)
					is.Equal(time.Since(began), time.Duration(0))
				}
			})
		})
	}
}

// TestPermitTerms guards against permits at a higher rate, or for longer, than an upstream that is cold, capped or both accepts,
// and against an upstream that gets no request at all and so cannot lift its cap.
func TestPermitTerms(t *testing.T) {
	inForce := func(perSecond float64) *capReport { return &capReport{PerSecond: perSecond, InForce: true} }
	tests := []struct {
		name      string
		cold      *layout.Cold
		known     *capReport
		perSecond float64
		validity  time.Duration
	}{
		{"neither", nil, nil, 0, 0},
		{"lifted", nil, &capReport{}, 0, 0},
		{"capped", nil, inForce(4), 4, permit.CapValidity},
		{"accepts none", nil, inForce(0), permit.Rate(0), permit.CapValidity},
		{"cold", &layout.Cold{PerSecond: 28}, nil, 28, 0},
		{"cold and capped", &layout.Cold{PerSecond: 28}, inForce(4), 4, 0},
		{"cold with a high cap", &layout.Cold{PerSecond: 28}, inForce(40), 28, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := newPermitTerms("x", time.Time{}, tt.cold, tt.known)
			is.Equal(got.perSecond, tt.perSecond)
			is.Equal(got.validity, tt.validity)
			is.True(permit.Rate(0) > 0)
		})
	}
}

// TestAllocatorAndGatewayAgreeOnTheCap guards against an allocator that grants at a rate which the upstream has replaced, and
// against a gateway that keeps to a cap which another one saw lifted.
func TestAllocatorAndGatewayAgreeOnTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		u := roster.Upstream{Instance: "x", Service: "plain", Slots: 4}
		g.roster.Update(u)
		g.observeRateCap(&attempts{}, u, capped(4))
		time.Sleep(time.Second)
		now := time.Now()
		newer := g.mergeCap(permitAsk{Instance: "x", Cap: &capReport{PerSecond: 2, InForce: true, AgeMS: 100}}, now)
		is.Equal(newer.PerSecond, 2.0)
		is.Equal(newer.AgeMS, int64(100))
		older := &capReport{PerSecond: 9, InForce: true, AgeMS: 500}
		known := g.mergeCap(permitAsk{Instance: "x", Cap: older}, now)
		is.Equal(known.PerSecond, 2.0)
		is.True(known.newerThan(older)) // The gateway is told.
		lifted := &capReport{AgeMS: 10}
		is.Equal(g.mergeCap(permitAsk{Instance: "x", Cap: lifted}, now).rateCap(), roster.RateCap{})
		is.True(!g.roster.IsCapped("x"))
		unlisted := &capReport{PerSecond: 3, InForce: true}
		is.Equal(g.mergeCap(permitAsk{Instance: "new", Cap: unlisted}, now).PerSecond, 3.0)

		_, err := g.applyNotice(t.Context(), notice{Caps: []capReport{
			{upstreamStart: upstreamStart{Instance: "x"}, PerSecond: 7, InForce: true, AgeMS: 5},
			{upstreamStart: upstreamStart{Instance: "x", Incarnation: 9}, AgeMS: 1}, // Of another start.
		}})
		is.NoErr(err)
		is.Equal(g.knownCap("x", now).PerSecond, 7.0)
	})
}

// TestCapsGoToTheAllocatorAtOnce guards against an allocator that learns only with the next request that the upstream accepts more
// again, and against messages for the same upstream twice.
func TestCapsGoToTheAllocatorAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		u := roster.Upstream{Instance: "x", Service: "plain", Slots: 4}
		g.roster.Update(u)
		g.observeRateCap(&attempts{}, u, capped(4))
		is.Equal(g.permits.reports, map[string]string{"x": "plain"})
		is.Equal(len(g.permits.wake), 1)
		messages := make(map[string]*permitMessage)
		g.permits.mu.Lock()
		defer g.permits.mu.Unlock()
		is.True(!g.permits.addAsk(messages, permitAsk{Instance: "x"}, time.Now())) // No holder is known.
		is.Equal(len(messages), 0)
	})
}

// TestPeersAreToldOfChangesOfCapsOnce guards against a notice with each message about a capped upstream, and against a lifted cap
// that peers don't hear of.
func TestPeersAreToldOfChangesOfCapsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newColdGateway(t.Context())
		since := time.Now()
		notified := func(c *capReport) bool {
			_, notify, ok := g.permits.grant(newPermitTerms("x", since, nil, c), 1, time.Now())
			is.True(ok)
			return notify
		}
		c := &capReport{PerSecond: 4, InForce: true}
		g.roster.Update(roster.Upstream{Instance: "x", Service: "plain", Slots: 4})
		g.recordRateCap(roster.CapReport{Start: roster.Start{Instance: "x"}, Cap: c.rateCap(), SeenAt: since}, "answer")
		is.True(notified(c))
		is.True(!notified(c))
		time.Sleep(time.Minute)
		g.permits.sweep(time.Now())
		is.True(!notified(c)) // The allocator is kept while the cap is in force.
		is.True(notified(&capReport{PerSecond: 2, InForce: true}))
		is.True(notified(&capReport{}))
		is.True(!notified(&capReport{}))
		time.Sleep(time.Minute)
		g.permits.sweep(time.Now())
		is.Equal(len(g.permits.allocators), 0)
	})
}
