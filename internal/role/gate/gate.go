// Package gate is the role that carries callers' own requests: it checks keys, keeps every workspace's rate, chooses
// upstreams, keeps the history and budget of programs at their home, and repeats what may be repeated. All gateways
// are alike; what must outlast them stands in the platform's store.
package gate

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/owner"
	"galenaward.example/galenaward/internal/sched/admit"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/httpc"
)

// Announcements decodes what operators and upstreams publish.
type Announcements interface {
	// Layout reads one version of the configuration.
	Layout(value []byte) (*layout.Layout, error)
	// Upstream reads an announcement; an error means that it names no upstream to use.
	Upstream(instance string, value []byte) (roster.Upstream, error)
	// LayoutKey is the key under which the configuration stands.
	LayoutKey() string
}

// Gate is a running gateway.
type Gate struct {
	settings *config.Gateway
	store    store.Store
	codec    Codec
	read     Announcements
	lg       log.Logger
	metrics  *telem.Metrics
	group    *group.Group

	layout  atomic.Pointer[layout.Layout]
	roster  *roster.Table
	pool    *httpc.Pool
	owner   *owner.Owner
	peers   *peerClient
	rates   *rates
	streams *frame.Set
	readers readers
	recall  *recall
	// warm is the engine that holds the cache of each turn, asked the time that programs had when they first wanted to
	// begin.
	warm     memo[string]
	asked    memo[time.Duration]
	sampled  sampler
	suspects *suspects
	absent   absences
	paces    paces
	mover    mover
	policy   admit.Policy
	ready    serve.Ready
	stop     stopping
	// listed is set once the upstreams have been read from the store.
	listed atomic.Bool
}

// Deps are what a gateway needs from outside.
type Deps struct {
	Store         store.Store
	Codec         Codec
	Announcements Announcements
	Log           log.Logger
	Metrics       *telem.Metrics
}

const (
	sweepEvery = time.Second
	readyEvery = 50 * time.Millisecond
	// warmTurns bounds the turns whose engine is remembered, askedPrograms the programs that wanted to begin.
	warmTurns     = 20_000
	askedPrograms = 5_000
)

// Start begins to follow the store and to serve peers. Calls are handed to Serve.
func Start(g *group.Group, s *config.Gateway, d Deps) (*Gate, error) {
	gt := &Gate{
		settings: s, codec: d.Codec, read: d.Announcements, lg: d.Log, metrics: d.Metrics, group: g,
		roster: roster.New(), recall: newRecall(), streams: frame.NewSet(), warm: newMemo[string](warmTurns),
		asked: newMemo[time.Duration](askedPrograms), suspects: newSuspects(), policy: admit.DefaultPolicy(),
	}
	gt.pool = httpc.NewPool(httpc.WithOpened(func(string) { d.Metrics.Add("upstream_connections", 1) }))
	gt.peers = newPeerClient(s.ListenPeers)
	way := newDetour(d.Store, gt.peers, gt.peerAddresses, gt.note)
	gt.store = way
	gt.owner = owner.New(g, way, int(s.Partitions), s.ListenPeers, owner.WithNote(gt.note), owner.WithCut(way.Cut))
	gt.rates = newRates(gt)
	if _, err := serve.Start(g, s.ListenPeers, gt.peerHandler(d.Store), serve.Options{
		ReadTimeout: peerReadTimeout, IdleTimeout: peerIdleTimeout,
	}); err != nil {
		return nil, err
	}
	g.Go(gt.followSettings)
	g.Go(gt.followUpstreams)
	g.Go(gt.owner.Run)
	g.Go(gt.followCrashes)
	g.Go(gt.publishCrashes)
	g.Go(gt.housekeeping)
	return gt, nil
}

// note logs an event that changes what the process believes.
func (g *Gate) note(event string, kv ...any) {
	g.metrics.Add("event_"+event, 1)
	telem.Info(g.lg, event, kv...)
}

// peerAddresses returns the peers that are known, or those that the settings name.
func (g *Gate) peerAddresses() []string {
	if g.owner != nil {
		if known := g.owner.Peers(); len(known) > 0 {
			return known
		}
	}
	return slices.DeleteFunc(slices.Clone(g.settings.Seeds), func(a string) bool { return a == g.settings.ListenPeers })
}

// housekeeping declares the process ready and drops what is too old.
func (g *Gate) housekeeping(ctx context.Context) error {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	poll := time.NewTicker(readyEvery)
	defer poll.Stop()
	for {
		select {
		case now := <-sweep.C:
			g.pool.Sweep(now)
			g.roster.Settle(now)
			g.blameEnds()
			g.sweepCrashes(now)
		case <-poll.C:
			if g.listed.Load() && g.layout.Load() != nil && g.owner.Located() && !g.stop.begun() && !g.ready.On() {
				g.ready.Set(true)
				g.note("ready", "layout", g.layout.Load().Version, "upstreams", g.roster.Len())
				poll.Reset(sweepEvery)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Ready returns the handler for the platform's balancer.
func (g *Gate) Ready() http.Handler { return &g.ready }

// Limits returns what callers may send, or false before the first configuration.
func (g *Gate) Limits() (layout.Limits, bool) {
	l := g.layout.Load()
	if l == nil {
		return layout.Limits{}, false
	}
	return l.Limits, true
}
