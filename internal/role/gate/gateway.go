// Package gate implements the gateway role: it authenticates callers, enforces the rate limit of each workspace,
// chooses upstreams, keeps the history and token budget of programs at the gateway that owns their partition, and
// retries requests that are safe to retry. Any gateway can serve any request; state that must survive a gateway is kept
// in the platform's store.
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
	"galenaward.example/galenaward/internal/sched/learn"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/httpc"
)

// AnnouncementDecoder decodes the records that operators and upstreams publish.
type AnnouncementDecoder interface {
	// DecodeLayout decodes one version of the configuration.
	DecodeLayout(value []byte) (*layout.Layout, error)
	// DecodeUpstream decodes an announcement; an error means that it describes no usable upstream.
	DecodeUpstream(instance string, value []byte) (roster.Upstream, error)
	// LayoutKey is the key of the configuration record.
	LayoutKey() string
	// DecodeEvacuation returns the data centre that a record of the settings feed with this key evacuates while it has a
	// value, or false for records about something else.
	DecodeEvacuation(key string) (dataCentre string, ok bool)
}

// Gateway is a running gateway.
type Gateway struct {
	settings *config.Gateway
	store    store.Store
	codec    Codec
	decoder  AnnouncementDecoder
	logger   log.Logger
	metrics  *telem.Metrics
	group    *group.Group

	layout    atomic.Pointer[layout.Layout]
	roster    *roster.Table
	pool      *httpc.Pool
	owner     *owner.Owner
	peers     *peerClient
	rates     *rates
	permits   *permits
	streams   *frame.Streams
	readers   readers
	feedCache *feedCache
	// cacheEngines maps turns and prompt parts to the engine that caches them, initialTimeLeft programs to the time
	// they had left when they first asked to start.
	cacheEngines    memo[string]
	initialTimeLeft memo[time.Duration]
	allowances      *allowances
	admission       admission
	answeredSampler sampler
	// invalidCaps limits the log lines about malformed rate caps.
	invalidCaps sampler
	suspects    *crashSuspects
	notices     *notifier
	unowned     unownedPartitions
	peerRegions peerRegions
	latencies   latencies
	// workTimes are the typical times that capacity is learned from: like latencies, but without the network.
	workTimes latencies
	// distances are the round trips to data centres; nil before the first is known.
	distances   atomic.Pointer[learn.Distances]
	slowRetries slowRetries
	policy      admit.Policy
	ready       serve.Readiness
	shutdown    *serve.Shutdown
	// peerBudget bounds the memory of requests of other gateways.
	peerBudget *serve.Budget
	// answerBudget bounds the memory of answers that are held.
	answerBudget *serve.Budget
	// listed is set once the upstreams have been read from the store.
	listed atomic.Bool
}

// Deps holds the dependencies of a gateway.
type Deps struct {
	Store   store.Store
	Codec   Codec
	Decoder AnnouncementDecoder
	Log     log.Logger
	Metrics *telem.Metrics
}

const (
	sweepInterval     = time.Second
	readyPollInterval = 50 * time.Millisecond
	// maxCacheEngines bounds the entries of cacheEngines, maxInitialTimes those of initialTimeLeft.
	maxCacheEngines = 20_000
	maxInitialTimes = 5_000
)

// Start starts following the store and serving peers. Requests of callers are passed to Serve.
func Start(g *group.Group, s *config.Gateway, d Deps) (*Gateway, error) {
	gt := &Gateway{
		settings: s, codec: d.Codec, decoder: d.Decoder, logger: d.Log, metrics: d.Metrics, group: g,
		roster: roster.New(roster.WithLearning(learningModes[s.LearnedCapacity])), feedCache: newFeedCache(), streams: frame.NewStreams(),
		cacheEngines:    newMemo[string](maxCacheEngines),
		initialTimeLeft: newMemo[time.Duration](maxInitialTimes),
		allowances:      newAllowances(),
		suspects:        newCrashSuspects(), notices: newNotifier(), policy: admit.DefaultPolicy(),
		shutdown:     serve.NewShutdown(),
		peerBudget:   serve.NewBudget(s.PeerRequestMemory(), s.RequestMemoryWait()),
		answerBudget: serve.NewBudget(s.AnswerMemory(), 0),
	}
	gt.pool = httpc.NewPool(httpc.WithOnOpen(func(address string, took time.Duration) {
		d.Metrics.Add("upstream_connections", 1)
		gt.recordConnect(address, took)
	}))
	d.Metrics.AddWriter(gt.writeLearned)
	gt.peers = newPeerClient(s.PeerAddress())
	fallback := newFallbackStore(d.Store, gt.peers, gt.peerAddresses, gt.logEvent)
	gt.store = fallback
	gt.owner = owner.New(g, fallback, int(s.Partitions), s.PeerAddress(),
		owner.WithLimits(owner.Limits{RecordBytes: int(s.RecordBytes), AppendBytes: int(s.AppendBytes)}),
		owner.WithEventLog(gt.logEvent), owner.WithIsolationCheck(fallback.Isolated))
	gt.rates = newRates(gt)
	gt.registerEvacuationGauges()
	d.Metrics.Gauge("allowances", gt.allowances.programs)
	d.Metrics.Gauge("grants_open", gt.openGrants)
	gt.registerAffinityGauges()
	gt.permits = newPermits(gt)
	d.Metrics.Gauge("cold_upstreams", gt.coldUpstreams)
	d.Metrics.Gauge("capped_upstreams", gt.cappedUpstreams)
	d.Metrics.Gauge("answer_memory_bytes", gt.answerBudget.Used)
	if _, err := serve.Start(g, s.ListenPeers, gt.peerHandler(d.Store), serve.Options{
		ReadTimeout: peerReadTimeout, WriteTimeout: peerWriteTimeout, IdleTimeout: peerIdleTimeout,
		MaxConnections: s.PeerConnections(), MaxHeaderBytes: maxPeerHeadBytes, MaxHeaderLines: maxPeerHeadLines,
		MaxLeadingBytes: int(s.MaxLeadingBytes),
		Budget:          gt.peerBudget, Metrics: d.Metrics, Log: d.Log,
	}); err != nil {
		return nil, err
	}
	g.Go(gt.followSettings)
	g.Go(gt.followUpstreams)
	g.Go(gt.owner.Run)
	g.Go(gt.followCrashes)
	g.Go(gt.publishCrashes)
	g.Go(gt.housekeeping)
	g.Go(gt.keepLease)
	g.Go(gt.sendNotices)
	g.Go(gt.askPermits)
	return gt, nil
}

// SetPeerMemory changes the bound on the memory of other gateways' requests.
func (g *Gateway) SetPeerMemory(bytes int64) { g.peerBudget.SetTotal(bytes) }

// SetAnswerMemory changes the bound on the memory of answers.
func (g *Gateway) SetAnswerMemory(bytes int64) { g.answerBudget.SetTotal(bytes) }

// logEvent logs an event and counts it in the metrics.
func (g *Gateway) logEvent(event string, kv ...any) {
	g.metrics.Add("event_"+event, 1)
	telem.Info(g.logger, event, kv...)
}

// peerAddresses returns the known peers, or the seeds from the settings while none are known.
func (g *Gateway) peerAddresses() []string {
	if g.owner != nil {
		if known := g.owner.Peers(); len(known) > 0 {
			return known
		}
	}
	return slices.DeleteFunc(slices.Clone(g.settings.Seeds), func(a string) bool { return a == g.settings.PeerAddress() })
}

// housekeeping marks the process ready once it has the data it needs, and periodically removes expired state.
func (g *Gateway) housekeeping(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for {
		select {
		case now := <-sweep.C:
			g.pool.CloseExpired(now)
			g.roster.ExpireMissing(now)
			g.attributeCrashes()
			g.sweepCrashes(now)
			g.returnIdle(now.Add(-allowanceIdle))
			g.permits.sweep(now)
			g.reportCold()
			g.logLimits()
		case <-poll.C:
			if g.listed.Load() && g.layout.Load() != nil && g.owner.CanRoute() && !g.shutdown.Begun() && !g.ready.IsReady() {
				g.ready.Set(true)
				g.logEvent("ready", "layout", g.layout.Load().Version, "upstreams", g.roster.Len())
				poll.Reset(sweepInterval)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Ready returns the readiness handler for the platform's load balancer.
func (g *Gateway) Ready() http.Handler { return &g.ready }

// Limits returns the size limits for requests, or false before the first configuration.
func (g *Gateway) Limits() (layout.Limits, bool) {
	l := g.layout.Load()
	if l == nil {
		return layout.Limits{}, false
	}
	return l.Limits, true
}
