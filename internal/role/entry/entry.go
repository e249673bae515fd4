// Package entry implements the entry process, which serves callers and operators. It authenticates requests, enforces
// its share of each workspace's rate limit, routes calls to the homes of their programs and relays the answers.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	lru "github.com/hashicorp/golang-lru/v2"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/role/tries"
	"galenaward.example/galenaward/internal/sched/retry"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/confio"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/oasgen"

	"go.opentelemetry.io/otel/propagation"
)

const (
	maxHeaderBytes = 32 << 10
	// maxHeaderLines is as many lines of four bytes, the shortest valid ones, as fit into maxHeaderBytes.
	maxHeaderLines = maxHeaderBytes / 4
	// maxLeadingBytes bounds the empty lines before a request.
	maxLeadingBytes = 64
	// memoryWait is how long a request waits for memory before it is refused.
	memoryWait      = 500 * time.Millisecond
	peerIdle        = time.Minute
	maxCachedModels = 100_000
	readyPoll       = 20 * time.Millisecond
)

// Entry is a running entry process.
type Entry struct {
	Instance string
	// CallersAddr and OperatorsAddr are the addresses of the listeners for callers and operators.
	CallersAddr, OperatorsAddr string

	vm, addr     string
	conf         *config.Entry
	group        *group.Group
	store        *conf.Store
	follower     *confio.Follower
	clients      *peers.Clients
	list         *peers.VMList
	nodes        *nodes
	limiter      *limiter
	slotClaimer  *slotClaimer
	voucher      *voucher
	openCalls    *openCalls
	fetcher      *frame.Fetcher
	dispatcher   *tries.Dispatcher
	models       *lru.Cache[string, programModel]
	ready        *serve.Readiness
	metrics      *telem.Metrics
	tracer       *telem.Tracer
	logger       log.Logger
	callerServer *serve.Server
	peerServer   *serve.Server
	shutdown     *serve.Shutdown
}

// Start runs an entry in the group.
func Start(g *group.Group, c *config.Entry, lg log.Logger) (*Entry, error) {
	e := &Entry{
		Instance: prog.NewInstanceID(c.VM), vm: c.VM, conf: c, group: g, store: conf.NewStore(),
		ready: &serve.Readiness{}, shutdown: serve.NewShutdown(),
		openCalls: newOpenCalls(), metrics: telem.NewMetrics(), logger: lg, clients: peers.NewClients(serve.NewClient()),
	}
	var err error
	if e.tracer, err = telem.NewProcessTracer(g.Context(), "entry", c.VM, c.TraceOTLPURL, c.TraceLines); err != nil {
		return nil, err
	}
	if e.models, err = lru.New[string, programModel](maxCachedModels); err != nil {
		return nil, errors.Wrap(err, "create the cache of program models")
	}
	e.build()
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.run()
	telem.Info(lg, "started", "instance", e.Instance,
		"callers", e.CallersAddr, "peers", e.addr, "operators", e.OperatorsAddr)
	return e, nil
}

func (e *Entry) build() {
	c := e.conf
	plogc := plog.NewClient(c.LogURL, config.Millis(c.LogTimeoutMS))
	e.follower = confio.NewFollower(plogc, e.store, confio.WithLogger(e.logger),
		confio.WithSnapshots(c.SnapshotEveryRecords, config.Millis(c.SnapshotAgeMS)))
	e.list = peers.NewVMList(c.VMListURL, config.Millis(c.VMListEveryMS), e.clients.HTTP(), e.logger)
	e.nodes = newNodes(c.DataCentre, config.Millis(c.SuspectAfterMS), e.list.Leaving)
	lender := &slotClient{vm: c.VM, store: e.store, list: e.list, clients: e.clients}
	e.limiter = newLimiter(limiterOptions{
		vm: c.VM, slot: c.Slot, slots: c.Slots, shares: c.SharesPerWorkspace, store: e.store, metrics: e.metrics,
		group: e.group, lender: lender,
	})
	e.voucher = newVoucher(e.store, e.limiter.Lease)
	e.slotClaimer = &slotClaimer{
		instance: e.Instance, slot: c.Slot, lease: slotLease(c), follower: e.follower,
		store: e.store, limiter: e.limiter, logger: e.logger, maxOutage: config.Millis(c.SlotOutageMS),
		voucherClient: lender,
	}
	e.fetcher = &frame.Fetcher{
		Client: e.clients.HTTP(), SilenceTimeout: config.Millis(c.SilenceMS),
		AddHeaders: func(ctx context.Context, h http.Header) { e.tracer.Inject(ctx, propagation.HeaderCarrier(h)) },
		OnResume:   func() { e.metrics.Add("streams_resumed", 1) },
	}
	e.dispatcher = &tries.Dispatcher{
		Runner: peers.RemoteRunner{Fetcher: e.fetcher, HasEnded: e.isSilent}, Budget: &retry.Budget{}, VM: c.VM,
		OnRetry: func() { e.metrics.Add("retries", 1) },
	}
	e.metrics.Gauge("calls_open", e.openCalls.Len)
	e.metrics.Gauge("sidecars_known", func() int64 { return int64(e.nodes.members.Load().Len()) })
	e.metrics.Gauge("slot_held", e.slotHeld)
	e.metrics.Gauge("settings_version", func() int64 { return e.store.State().Version })
	e.metrics.Gauge("settings_silence_ms", func() int64 { return e.store.SinceConfirmed().Milliseconds() })
}

// slotLease returns the length of the lease of this entry's slot. A single entry has no other entry to confirm its
// lease while the log is unavailable, so its lease is as long as the longest outage to be bridged.
func slotLease(c *config.Entry) time.Duration {
	if c.Slots == 1 {
		return config.Millis(c.SlotOutageMS)
	}
	return config.Millis(c.SlotLeaseMS)
}

func (e *Entry) listen() error {
	h := &handler{entry: e}
	api, err := oasgen.NewServer(h, h, oasgen.WithErrorHandler(h.decodeError), oasgen.WithNotFound(h.notFound))
	if err != nil {
		return errors.Wrap(err, "build the API handler")
	}
	c := e.conf
	e.callerServer, err = serve.Start(e.group, c.ListenCallers, e.wrap(api), serve.Options{
		ReadTimeout: config.Millis(c.ReadTimeoutMS), IdleTimeout: config.Millis(c.IdleTimeoutMS),
		WriteTimeout: config.Millis(c.WriteTimeoutMS), MaxConnections: int(c.MaxConnections),
		MaxHeaderBytes: maxHeaderBytes, MaxHeaderLines: maxHeaderLines, MaxLeadingBytes: maxLeadingBytes,
		Budget: serve.NewBudget(c.RequestMemoryMB<<20, memoryWait), Metrics: e.metrics, Log: e.logger,
	})
	if err != nil {
		return err
	}
	ts := ctlpb.NewEntryServer(control{e})
	mux := http.NewServeMux()
	mux.Handle(ts.PathPrefix(), ts)
	if e.peerServer, err = serve.Start(e.group, c.ListenPeers, mux, e.internalOptions()); err != nil {
		return err
	}
	ops, err := serve.Start(
		e.group, c.ListenOperators, serve.NewOperatorHandler(e.ready, e.metrics), e.internalOptions())
	if err != nil {
		return err
	}
	e.CallersAddr, e.addr, e.OperatorsAddr = e.callerServer.Addr(), e.peerServer.Addr(), ops.Addr()
	return nil
}

// internalOptions returns the limits of the listeners for other processes and for operators.
func (e *Entry) internalOptions() serve.Options {
	return serve.Options{
		HeadTimeout: config.Millis(e.conf.ReadTimeoutMS), WriteTimeout: config.Millis(e.conf.WriteTimeoutMS),
		IdleTimeout: peerIdle, MaxHeaderBytes: maxHeaderBytes, MaxHeaderLines: maxHeaderLines,
		MaxLeadingBytes: maxLeadingBytes, Metrics: e.metrics, Log: e.logger,
	}
}

func (e *Entry) run() {
	for _, f := range []func(context.Context) error{
		e.follower.Run, e.follower.RunSnapshots, e.list.Run, e.slotClaimer.Run, e.watchKeys, e.gossip, e.awaitReady,
	} {
		e.group.Go(f)
	}
}

// awaitReady reports the process as ready once the settings have been read and a sidecar is known.
func (e *Entry) awaitReady(ctx context.Context) error {
	for e.store.State().Version == 0 || e.KnownSidecars() == 0 {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return nil
		}
	}
	e.ready.Set(true)
	return nil
}

// PeersAddr returns the address of the listener for galenaward's own processes.
func (e *Entry) PeersAddr() string { return e.addr }

// Stop reports the process as unready and keeps serving until load balancers have noticed (config.Entry.UnreadyMS). Then
// it refuses what still arrives, and returns once every request is done or ctx is done.
func (e *Entry) Stop(ctx context.Context) {
	telem.Info(e.logger, "stopping", "calls_open", e.openCalls.Len())
	e.shutdown.Begin(ctx, config.Millis(e.conf.UnreadyMS))
	e.ready.Set(false)
	e.shutdown.AwaitDrained(ctx)
	e.shutdown.Close()
	_ = e.callerServer.Drain(ctx)
	e.slotClaimer.Release(ctx)
	_ = e.peerServer.Drain(ctx)
	_ = e.tracer.Close(ctx)
	telem.Info(e.logger, "stopped", "clean", ctx.Err() == nil)
}

// isSilent reports whether the instance has sent no report within the time after which it counts as dead.
func (e *Entry) isSilent(instance string) bool { return !e.nodes.alive(instance) }

// KnownSidecars returns the number of sidecars that have reported.
func (e *Entry) KnownSidecars() int { return e.nodes.members.Load().Len() }

// HoldsSlot reports whether the lease of the entry's slot is valid, so that it may use its share of the workspaces'
// rates.
func (e *Entry) HoldsSlot() bool { return e.limiter.Lease().Valid(time.Now()) }

func (e *Entry) slotHeld() int64 {
	if e.HoldsSlot() {
		return 1
	}
	return 0
}
