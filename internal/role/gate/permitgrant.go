package gate

import (
	"context"
	"slices"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/permit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
)

type (
	permitRequest struct {
		// From is the peer address of the gateway that asks.
		From string      `json:"from"`
		Asks []permitAsk `json:"asks"`
	}
	permitAsk struct {
		Instance string `json:"instance"`
		Service  string `json:"service"`
		// Permits is zero if the gateway only tells of the upstream's rate cap.
		Permits int `json:"permits"`
		// Cap is what the gateway knows of the upstream's rate cap; nil for nothing.
		Cap *capReport `json:"cap,omitempty"`
	}
	permitAnswer struct {
		Grants []permitGrant `json:"grants"`
	}
	permitGrant struct {
		Instance     string  `json:"instance"`
		Permits      int     `json:"permits,omitempty"`
		Refused      int     `json:"refused,omitempty"`
		RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
		// ValidMS is how long the permits may be used from when they were asked for; zero means permit.Validity.
		ValidMS int64 `json:"valid_ms,omitempty"`
		// Moved says that another process grants the permits of this upstream.
		Moved bool `json:"moved,omitempty"`
		// Cap is what the allocator knows of the upstream's rate cap, if that is newer than what the gateway knows.
		Cap *capReport `json:"cap,omitempty"`
	}
)

func (g permitGrant) grant() permit.Grant {
	return permit.Grant{
		Permits: g.Permits, Refused: g.Refused, RetryAfter: time.Duration(g.RetryAfterMS * float64(time.Millisecond)),
		Validity: time.Duration(g.ValidMS) * time.Millisecond,
	}
}

// maxPermitAsk bounds the permits that one message may ask for; a gateway asks for a few.
const maxPermitAsk = 16

// permitAllocator is an upstream whose permits this process grants.
type permitAllocator struct {
	allocator permit.Allocator
	// since is since when this process has held the lease on the upstream's partition. If another process may have held it
	// in between, the allocator starts afresh.
	since time.Time
	// perSecond is the rate of the last grant.
	perSecond float64
	// notified is the rate cap that peers were last told of.
	notified roster.RateCap
}

// start is when the allocator's bucket was empty: the former holder may have granted permits until then.
func (a *permitAllocator) start() time.Time { return a.since.Add(predecessorOverlap) }

// grantPermits handles a permit request.
func (g *Gateway) grantPermits(_ context.Context, q permitRequest) (permitAnswer, error) {
	capped := slices.ContainsFunc(q.Asks, func(a permitAsk) bool { return a.Cap != nil })
	if !capped && !g.layout.Load().HasCold() {
		return permitAnswer{}, g.refuse(fault.Unready, "permits", "no upstream has a rate cap, no service a limit for cold ones")
	}
	g.rates.recordBorrower(q.From)
	var out permitAnswer
	for _, a := range q.Asks {
		out.Grants = append(out.Grants, g.grantPermit(a))
	}
	return out, nil
}

// grantPermit decides on the permits of one upstream. The time is read before the lease is checked and used for the grant,
// so that a process that is suspended in between grants nothing that accrued after its lease had ended.
func (g *Gateway) grantPermit(a permitAsk) permitGrant {
	out := permitGrant{Instance: a.Instance}
	now := time.Now()
	since, until, ok := g.owner.LeasedSince(g.permitPartition(a.Instance))
	if !ok || !now.Before(until) {
		out.Moved = true
		return out
	}
	known := g.mergeCap(a, now)
	if known.newerThan(a.Cap) {
		out.Cap = known
	}
	n := max(0, min(a.Permits, maxPermitAsk))
	answer, notify, ok := g.permits.grant(newPermitTerms(a.Instance, since, g.layout.Load().Cold(a.Service), known), n, now)
	if !ok {
		return permitGrant{Instance: a.Instance, Moved: true}
	}
	if notify {
		g.notifyKnown(notice{Caps: []capReport{*known}})
	}
	g.metrics.Add("permits_granted", int64(answer.Permits))
	g.metrics.Add("permits_refused", int64(answer.Refused))
	out.Permits, out.Refused, out.ValidMS = answer.Permits, answer.Refused, answer.Validity.Milliseconds()
	out.RetryAfterMS = float64(answer.RetryAfter) / float64(time.Millisecond)
	return out
}

// permitTerms are the terms on which the permits of an upstream are granted.
type permitTerms struct {
	instance string
	// since is since when this process has held the lease.
	since time.Time
	// perSecond is the rate of permits; zero if none are needed.
	perSecond float64
	// validity is how long the permits may be used; zero means permit.Validity.
	validity time.Duration
	// cap is the upstream's rate cap, of which peers are told if it changed.
	cap roster.RateCap
}

// newPermitTerms returns the terms for an upstream of a service that may have a limit for cold upstreams. Known is what is known
// of the upstream's rate cap, nil for nothing. The lower rate of the two applies.
func newPermitTerms(instance string, since time.Time, cold *layout.Cold, known *capReport) permitTerms {
	t := permitTerms{instance: instance, since: since, cap: known.rateCap()}
	if t.cap.InForce {
		t.perSecond, t.validity = permit.Rate(t.cap.PerSecond), permit.CapValidity
	}
	if cold != nil {
		t.validity = 0
		if !t.cap.InForce || cold.PerSecond < t.perSecond {
			t.perSecond = cold.PerSecond
		}
	}
	return t
}

// grant decides on n permits. Notify says that peers are to be told of the upstream's rate cap. It returns false if the lease
// was lost and regained since it was checked.
func (p *permits) grant(t permitTerms, n int, now time.Time) (g permit.Grant, notify, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	al, ok := p.allocators[t.instance]
	if ok && al.since.After(t.since) {
		return permit.Grant{}, false, false
	}
	if !ok || !al.since.Equal(t.since) {
		al = &permitAllocator{since: t.since}
		al.allocator = permit.NewAllocator(al.start())
		p.allocators[t.instance] = al
	}
	if notify = t.cap.Differs(al.notified); notify {
		al.notified = t.cap
	}
	al.perSecond = t.perSecond
	if t.perSecond == 0 {
		return permit.Grant{Refused: n, RetryAfter: shortRetry}, notify, true
	}
	al.allocator, g = al.allocator.Grant(t.perSecond, n, now)
	g.Validity = t.validity
	return g, notify, true
}
