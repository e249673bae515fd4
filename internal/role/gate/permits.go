package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/permit"
	"galenaward.example/galenaward/internal/sched/rate"
)

const (
	// askPermitsInterval is the minimum time between two rounds of permit requests.
	askPermitsInterval = 20 * time.Millisecond
	// askPermitsTimeout bounds a message; permits that arrive later have expired.
	askPermitsTimeout = permit.Validity
	// permitTraffic bounds the messages that a gateway sends to peers and their answers, in bytes per second and at once.
	// Control traffic of all kinds has 6 KB per second.
	permitTraffic = 3000
	// permitMessageBytes and permitAskBytes are about the size of a message with its answer, and of each upstream in it:
	// 406 bytes of HTTP were measured for one cold upstream and 987 for five. A rate cap adds 92 bytes.
	permitMessageBytes, permitAskBytes = 265, 237
	// maxAsks bounds the upstreams in one message, so that its size fits into permitTraffic.
	maxAsks = 11
	// permitWarnInterval is the minimum time between two log lines about permits that nobody grants.
	permitWarnInterval = time.Second
)

// permits holds the permits that this gateway has for cold and capped upstreams, and grants those of the upstreams whose
// partition it holds.
type permits struct {
	gateway *Gateway
	// wake holds an element when permits are wanted.
	wake chan struct{}

	mu sync.Mutex
	// borrowers holds what this gateway has of each upstream, services the service of each.
	borrowers map[string]permit.Borrower
	services  map[string]string
	// reports holds the upstreams whose rate cap changed since their allocator was told, and their services.
	reports map[string]string
	// traffic limits the messages to peers, in bytes.
	traffic rate.Bucket
	// changed is closed and replaced when a message ends.
	changed chan struct{}
	// warned is when a missing answer was last logged.
	warned time.Time
	// allocators holds the upstreams whose permits this process grants.
	allocators map[string]*permitAllocator
}

func newPermits(g *Gateway) *permits {
	return &permits{
		gateway: g, wake: make(chan struct{}, 1), borrowers: make(map[string]permit.Borrower),
		services: make(map[string]string), reports: make(map[string]string), changed: make(chan struct{}),
		traffic:    rate.NewBucket(permitTraffic, time.Now()),
		allocators: make(map[string]*permitAllocator),
	}
}

// permitPartition returns the partition whose holder grants the permits of the upstream. Older versions use the same name of the
// key, for cold upstreams only.
func (g *Gateway) permitPartition(instance string) int {
	return g.owner.PartitionOf("cold/" + instance)
}

// held returns the upstreams for which there is a valid permit.
func (p *permits) held(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for instance, b := range p.borrowers {
		if b.Held(now) > 0 {
			out = append(out, instance)
		}
	}
	return out
}

// take uses a permit for the upstream. If it was the last one, the next is asked for, since the requests of this gateway go
// there.
func (p *permits) take(instance string, now time.Time) (permit.Permit, bool) {
	p.mu.Lock()
	b, t, ok := p.borrowers[instance].Take(now)
	if ok {
		p.borrowers[instance] = b
	}
	last := ok && b.Held(now) == 0
	service := p.services[instance]
	p.mu.Unlock()
	if last {
		p.want(instance, service)
	}
	return t, ok
}

// want records that a request would have used a permit, and asks for it in the background.
func (p *permits) want(instance, service string) {
	p.mu.Lock()
	p.borrowers[instance] = p.borrowers[instance].WithWanted()
	p.services[instance] = service
	p.mu.Unlock()
	p.signal()
}

// report tells the allocator of the upstream in the background what this gateway knows of its rate cap.
func (p *permits) report(instance, service string) {
	p.mu.Lock()
	p.reports[instance] = service
	p.mu.Unlock()
	p.signal()
}

// signal makes askPermits send messages.
func (p *permits) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// changes returns a channel that is closed when the next message ends.
func (p *permits) changes() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// decided reports whether there is a permit for the upstream, or none may be asked for now.
func (p *permits) decided(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.borrowers[instance]
	return b.Held(now) > 0 || b.DueIn(now) > 0
}

// paused returns the upstreams of the service for which it is too early to ask, and how long it takes until the first of
// them may be asked for.
func (p *permits) paused(service string, now time.Time) (instances []string, due time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, b := range p.borrowers {
		d := b.DueIn(now)
		if d == 0 || p.services[instance] != service {
			continue
		}
		if len(instances) == 0 || d < due {
			due = d
		}
		instances = append(instances, instance)
	}
	return instances, due
}

// permitMessage is a message to one holder.
type permitMessage struct {
	address string
	self    bool
	asks    []permitAsk
}

// askPermits sends permit requests until ctx ends.
func (g *Gateway) askPermits(ctx context.Context) error {
	for {
		select {
		case <-g.permits.wake:
		case <-ctx.Done():
			return nil
		}
		for _, q := range g.permits.messagesToSend(time.Now()) {
			g.group.Go(func(ctx context.Context) error {
				g.permits.ask(ctx, q)
				return nil
			})
		}
		select {
		case <-time.After(askPermitsInterval):
		case <-ctx.Done():
		}
	}
}

// messagesToSend returns what to ask of each holder, and marks it as asked.
func (p *permits) messagesToSend(now time.Time) []permitMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	byAddress := make(map[string]*permitMessage)
	for instance, b := range p.borrowers {
		b, n := b.Ask(now)
		p.borrowers[instance] = b
		if n > 0 && !p.addAsk(byAddress, permitAsk{Instance: instance, Service: p.services[instance], Permits: n}, now) {
			p.borrowers[instance] = b.WithFailure(now)
		}
	}
	for instance, service := range p.reports {
		p.addAsk(byAddress, permitAsk{Instance: instance, Service: service}, now)
	}
	clear(p.reports)
	out := make([]permitMessage, 0, len(byAddress))
	for _, q := range byAddress {
		if q.self || p.mayAsk(len(q.asks), now) {
			out = append(out, *q)
			continue
		}
		for _, a := range q.asks {
			p.leaveOut(a, now)
		}
	}
	return out
}

// addAsk adds what is asked of an upstream's allocator to the message to it. It returns false if no allocator is known. The
// caller holds the lock.
func (p *permits) addAsk(messages map[string]*permitMessage, a permitAsk, now time.Time) (known bool) {
	address, self, known := p.gateway.owner.AddressOf(p.gateway.permitPartition(a.Instance))
	if !known {
		return false
	}
	q, ok := messages[address]
	if !ok {
		q = &permitMessage{address: address, self: self}
		messages[address] = q
	}
	i := slices.IndexFunc(q.asks, func(other permitAsk) bool { return other.Instance == a.Instance })
	switch {
	case i >= 0: // The message tells of the cap anyway.
	case len(q.asks) == maxAsks:
		p.leaveOut(a, now)
	default:
		if a.Cap = p.gateway.knownCap(a.Instance, now); a.Cap != nil {
			a.Cap.Instance = "" // The ask names it.
		}
		q.asks = append(q.asks, a)
	}
	return true
}

// leaveOut records that an upstream is not asked for after all, since the limits on messages are reached. After a pause a request
// asks again. The caller holds the lock.
func (p *permits) leaveOut(a permitAsk, now time.Time) {
	p.gateway.metrics.Add("permits_unasked", 1)
	if a.Permits > 0 {
		p.borrowers[a.Instance] = p.borrowers[a.Instance].WithFailure(now)
	}
}

// mayAsk takes a message with the given number of upstreams from the limit. The caller holds the lock.
func (p *permits) mayAsk(asks int, now time.Time) bool {
	q := rate.Quota{Rate: permitTraffic, Burst: permitTraffic}
	b, ok := p.traffic.Refill(q, now).Take(float64(permitMessageBytes + asks*permitAskBytes))
	p.traffic = b
	return ok
}

// ask sends a message and records the answer.
func (p *permits) ask(ctx context.Context, q permitMessage) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, askPermitsTimeout)
	defer cancel()
	request := permitRequest{From: p.gateway.settings.PeerAddress(), Asks: q.asks}
	var a permitAnswer
	var err error
	if q.self {
		a, err = p.gateway.grantPermits(ctx, request)
	} else {
		a, err = callPeer[permitAnswer](ctx, p.gateway.peers, q.address, permitsPath, request)
	}
	now := time.Now()
	complete := p.record(q, a, asked, now)
	for _, g := range a.Grants {
		if g.Cap != nil {
			g.Cap.Instance = g.Instance
			p.gateway.recordRateCap(g.Cap.report(now), "allocator")
		}
	}
	if complete {
		return
	}
	p.gateway.metrics.Add("permits_no_allocator", 1)
	p.warn(q, err)
	p.gateway.owner.RefreshOwners(ctx)
}

// record records the answer, and reports whether each upstream was decided on. What the answer does not name, or all of it
// if there was none, counts as failed.
func (p *permits) record(q permitMessage, a permitAnswer, asked, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	complete := true
	for _, s := range q.asks {
		i := slices.IndexFunc(a.Grants, func(g permitGrant) bool { return g.Instance == s.Instance })
		if i < 0 || a.Grants[i].Moved {
			complete = false
		}
		if s.Permits == 0 {
			continue
		}
		if i < 0 || a.Grants[i].Moved {
			p.borrowers[s.Instance] = p.borrowers[s.Instance].WithFailure(now)
			continue
		}
		p.borrowers[s.Instance] = p.borrowers[s.Instance].WithGrant(asked, a.Grants[i].grant(), now)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return complete
}

// warn logs a message that nobody answered, at most once per permitWarnInterval.
func (p *permits) warn(q permitMessage, err error) {
	p.mu.Lock()
	suppressed := time.Since(p.warned) < permitWarnInterval
	if !suppressed {
		p.warned = time.Now()
	}
	p.mu.Unlock()
	if !suppressed {
		p.gateway.logEvent("permits_unavailable", "upstream", q.asks[0].Instance, "upstreams", len(q.asks),
			"allocator", q.address, "moved", err == nil, "cause", err)
	}
}

// sweep drops expired permits and what need not be kept of allocators.
func (p *permits) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, b := range p.borrowers {
		b, void := b.WithoutExpired(now)
		if void > 0 {
			p.gateway.metrics.Add("permits_void", int64(void))
		}
		if b.Empty(now) {
			delete(p.borrowers, instance)
			delete(p.services, instance)
			continue
		}
		p.borrowers[instance] = b
	}
	for instance, al := range p.allocators {
		_, listed := p.gateway.roster.LatestCap(instance)
		if (!al.notified.InForce || !listed) && al.allocator.Forgettable(al.perSecond, al.start(), now) {
			delete(p.allocators, instance)
		}
	}
}
