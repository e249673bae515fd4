package gate

import (
	"context"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/sched/permit"
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
		Permits  int    `json:"permits"`
	}
	permitAnswer struct {
		Grants []permitGrant `json:"grants"`
	}
	permitGrant struct {
		Instance     string  `json:"instance"`
		Permits      int     `json:"permits,omitempty"`
		Refused      int     `json:"refused,omitempty"`
		RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
		// Moved says that another process grants the permits of this upstream.
		Moved bool `json:"moved,omitempty"`
	}
)

func (g permitGrant) grant() permit.Grant {
	return permit.Grant{
		Permits: g.Permits, Refused: g.Refused, RetryAfter: time.Duration(g.RetryAfterMS * float64(time.Millisecond)),
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
}

// start is when the allocator's bucket was empty: the former holder may have granted permits until then.
func (a *permitAllocator) start() time.Time { return a.since.Add(predecessorOverlap) }

// grantPermits handles a permit request.
func (g *Gateway) grantPermits(_ context.Context, q permitRequest) (permitAnswer, error) {
	if !g.layout.Load().HasCold() {
		return permitAnswer{}, g.refuse(fault.Unready, "permits", "no service has a limit for cold upstreams")
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
	since, until, ok := g.owner.LeasedSince(g.coldPartition(a.Instance))
	if !ok || !now.Before(until) {
		out.Moved = true
		return out
	}
	c := g.layout.Load().Cold(a.Service)
	n := max(0, min(a.Permits, maxPermitAsk))
	if c == nil {
		out.Refused, out.RetryAfterMS = n, float64(shortRetry.Milliseconds())
		return out
	}
	answer, ok := g.permits.grant(a.Instance, since, c.PerSecond, n, now)
	if !ok {
		out.Moved = true
		return out
	}
	g.metrics.Add("permits_granted", int64(answer.Permits))
	g.metrics.Add("permits_refused", int64(answer.Refused))
	out.Permits, out.Refused = answer.Permits, answer.Refused
	out.RetryAfterMS = float64(answer.RetryAfter) / float64(time.Millisecond)
	return out
}

// grant decides on n permits as the allocator since the given time. It returns false if the lease was lost and regained
// since it was checked.
func (p *permits) grant(
	instance string, since time.Time, perSecond float64, n int, now time.Time,
) (g permit.Grant, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	al, ok := p.allocators[instance]
	if ok && al.since.After(since) {
		return permit.Grant{}, false
	}
	if !ok || !al.since.Equal(since) {
		al = &permitAllocator{since: since}
		al.allocator = permit.NewAllocator(al.start())
		p.allocators[instance] = al
	}
	al.perSecond = perSecond
	al.allocator, g = al.allocator.Grant(perSecond, n, now)
	return g, true
}
