package gate

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/layout"
)

const (
	// peerRegionTTL is how long the region of a peer's address is used without asking again. The address may pass to a VM
	// elsewhere once its VM is gone.
	peerRegionTTL = 5 * time.Second
	// peerRegionTimeout bounds the question for a peer's data centre.
	peerRegionTimeout = 400 * time.Millisecond
	// excludedHomeRetry is when a caller may retry a turn whose home must not receive it. The home changes only when
	// partitions are reassigned.
	excludedHomeRetry = 2 * time.Second
)

// region returns the region of a data centre; empty if it is unknown.
func (g *Gateway) region(dataCentre string) string { return g.settings.Regions[dataCentre] }

// dataCentreFilter returns a function that reports whether a data centre is in an allowed region, or nil if all are.
func (g *Gateway) dataCentreFilter(s layout.RegionSet) func(dataCentre string) bool {
	if !s.Restricted {
		return nil
	}
	return func(dataCentre string) bool { return s.Allows(g.region(dataCentre)) }
}

// inRegions returns " in regions " and the names for a restricted set, otherwise nothing.
func inRegions(s layout.RegionSet) string {
	if !s.Restricted {
		return ""
	}
	return " in regions " + s.String()
}

type (
	placeRequest struct{}
	// placeAnswer tells where a gateway runs. The region follows from the settings of the gateway that asks.
	placeAnswer struct {
		DataCentre string `json:"data_centre"`
	}
)

// place answers a peer that asks where this process runs.
func (g *Gateway) place(context.Context, placeRequest) (placeAnswer, error) {
	return placeAnswer{DataCentre: g.settings.DataCentre}, nil
}

// peerRegions remembers the regions of peers by address. The zero value is ready for use.
type peerRegions struct {
	mu sync.Mutex
	m  map[string]peerRegion
}

type peerRegion struct {
	// region is empty if the peer's data centre has no known region.
	region  string
	askedAt time.Time
}

func (p *peerRegions) get(address string, now time.Time) (region string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.m[address]
	return r.region, ok && now.Sub(r.askedAt) < peerRegionTTL
}

// set records a peer's region and reports whether it differs from what was known. Expired entries of other peers are
// removed, so that there are never more entries than peers.
func (p *peerRegions) set(address, region string, askedAt time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[string]peerRegion)
	}
	for a, r := range p.m {
		if a != address && askedAt.Sub(r.askedAt) >= peerRegionTTL {
			delete(p.m, a)
		}
	}
	old, known := p.m[address]
	p.m[address] = peerRegion{region, askedAt}
	return !known || old.region != region
}

// regionOf returns the region of the peer at the address; empty if its data centre has no known region.
func (g *Gateway) regionOf(ctx context.Context, address string) (string, error) {
	now := time.Now()
	if region, ok := g.peerRegions.get(address, now); ok {
		return region, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerRegionTimeout)
	defer cancel()
	a, err := callPeer[placeAnswer](ctx, g.peers, address, placePath, placeRequest{})
	if err != nil {
		return "", err
	}
	region := g.region(a.DataCentre)
	if g.peerRegions.set(address, region, now) {
		g.logEvent("peer_region", "peer", address, "data_centre", a.DataCentre, "region", region)
	}
	return region, nil
}

// checkRelay returns a fault if the turn must not be sent to the peer: its content may reach only gateways in an allowed
// region or in the region where the caller's gateway is. A peer whose region cannot be learned gets nothing.
func (g *Gateway) checkRelay(ctx context.Context, address string, q *turnRequest) *fault.Fault {
	if !q.Regions.Restricted {
		return nil
	}
	region, err := g.regionOf(ctx, address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.expelAsync(address)
		}
		return g.refuse(fault.PeerUnreachable, "home", "the region of peer %s is unknown: %v", address, err)
	}
	if q.Regions.Allows(region) || region != "" && region == q.CallerRegion {
		return nil
	}
	g.metrics.Add("relays_refused", 1)
	return g.refuse(fault.Unready, "home", "the home of partition %d in region %q may not receive turns for regions %s from region %q",
		q.Partition, region, q.Regions, q.CallerRegion).WithRetryAfter(excludedHomeRetry)
}
