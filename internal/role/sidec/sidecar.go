// Package sidec assembles the sidecar process. A sidecar is the home of programs, makes the last checks before a
// request reaches its upstream, and is the only process that sends orders to that upstream.
package sidec

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/home"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/role/runner"
	"galenaward.example/galenaward/internal/role/tries"
	"galenaward.example/galenaward/internal/sched/retry"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/confio"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"

	"go.opentelemetry.io/otel/propagation"
)

const (
	settingsTimeout      = time.Second
	settingsPollInterval = 10 * time.Millisecond
	drainPollInterval    = 20 * time.Millisecond
	idleTimeout          = time.Minute
	// headTimeout bounds the time to send a head, writeTimeout that to take the next part of a response.
	headTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	// maxHeaderBytes and maxLeadingBytes bound a head and the empty lines before it.
	maxHeaderBytes  = 32 << 10
	maxLeadingBytes = 64
	logWaitTimeout  = time.Second
)

// Sidecar is a running sidecar process.
type Sidecar struct {
	Instance string
	// PeersAddr and OperatorsAddr are the listen addresses for peers and operators.
	PeersAddr, OperatorsAddr string

	config     *config.Sidecar
	group      *group.Group
	store      *conf.Store
	follower   *confio.Follower
	clients    *peers.Clients
	vms        *peers.VMList
	home       *home.Home
	runner     *runner.Runner
	reporter   *reporter
	sweeper    *sweeper
	ready      *serve.Readiness
	metrics    *telem.Metrics
	tracer     *telem.Tracer
	logger     log.Logger
	peerServer *serve.Server
	intake     intake
}

// Start starts a sidecar whose tasks run in the group.
func Start(g *group.Group, c *config.Sidecar, lg log.Logger) (*Sidecar, error) {
	s := &Sidecar{
		Instance: prog.NewInstanceID(c.VM), config: c, group: g, store: conf.NewStore(), ready: &serve.Readiness{},
		metrics: telem.NewMetrics(), logger: lg, clients: peers.NewClients(serve.NewClient()),
	}
	var err error
	if s.tracer, err = telem.NewProcessTracer(g.Context(), "sidecar", c.VM, c.TraceOTLPURL, c.TraceLines); err != nil {
		return nil, err
	}
	s.build()
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.startTasks()
	telem.Info(lg, "started", "instance", s.Instance, "peers", s.PeersAddr, "operators", s.OperatorsAddr,
		"upstream", c.UpstreamURL)
	return s, nil
}

func (s *Sidecar) build() {
	c := s.config
	plogc := plog.NewClient(c.LogURL, config.Millis(c.LogTimeoutMS))
	s.follower = confio.NewFollower(plogc, s.store, confio.WithLogger(s.logger),
		confio.WithSnapshots(c.SnapshotEveryRecords, config.Millis(c.SnapshotAgeMS)))
	s.vms = peers.NewVMList(c.VMListURL, config.Millis(c.VMListEveryMS), s.clients.HTTP(), s.logger)
	up := &runner.Upstream{
		VM: c.VM, BaseURL: c.UpstreamURL, Client: serve.NewClient(serve.WithSingleUse()), Tracer: s.tracer,
		SilenceTimeout: config.Millis(c.SilenceMS), SendPriorities: c.EnginePriorities,
	}
	s.runner = runner.NewRunner(runner.Options{
		VM: c.VM, Upstream: up, Store: s.store, Metrics: s.metrics, Logger: s.logger, Group: s.group,
		MemoryTokens: c.EngineMemoryTokens,
		Capacity:     int(c.Capacity), QueueLimit: int(c.QueueLimit), OnCrash: func() { s.reporter.trigger() },
	})
	s.sweeper = newSweeper(c, up, s.logger)
	s.home = home.New(home.Options{
		VM: c.VM, Instance: s.Instance, Log: plogc, Dispatcher: s.newDispatcher(), Standbys: standbyClient{s.clients},
		Store: s.store, Metrics: s.metrics, Tracer: s.tracer, Logger: s.logger, Group: s.group,
		MinAppendInterval: config.Millis(c.AppendEveryMS), LogTimeout: logWaitTimeout, BudgetChunk: c.BudgetChunkTokens,
		MaxCheckpointAge: config.Millis(c.RecheckpointMS), OnProgramEnd: s.sweeper.markEnded,
	})
	s.metrics.Gauge("programs", func() int64 { return int64(s.home.Stats(s.group.Context()).Trees) })
	s.metrics.Gauge("log_backlog_records", s.home.Backlog)
	s.metrics.Gauge("log_appends", s.home.Appends)
	s.metrics.Gauge("settings_version", func() int64 { return s.store.State().Version })
}

func (s *Sidecar) newDispatcher() *tries.Dispatcher {
	return &tries.Dispatcher{
		Runner: s.newCallRunner(), Budget: &retry.Budget{}, VM: s.config.VM,
		OnRetry: func() { s.metrics.Add("retries", 1) },
	}
}

func (s *Sidecar) newCallRunner() *callRunner {
	return &callRunner{instance: s.Instance, runner: s.runner, awaitSettings: s.awaitSettings, remote: peers.RemoteRunner{
		Fetcher: &frame.Fetcher{
			Client: s.clients.HTTP(), SilenceTimeout: config.Millis(s.config.SilenceMS),
			AddHeaders: func(ctx context.Context, h http.Header) { s.tracer.Inject(ctx, propagation.HeaderCarrier(h)) },
			OnResume:   func() { s.metrics.Add("streams_resumed", 1) },
		},
	}}
}

func (s *Sidecar) listen() error {
	mux := http.NewServeMux()
	ctl := &control{vm: s.config.VM, home: s.home, store: s.store, ready: s.ready.IsReady}
	ts := ctlpb.NewSidecarServer(ctl)
	mux.Handle(ts.PathPrefix(), ts)
	handleStreams(mux, peer.CallsPath, s.config.VM, s.tracer, s.home,
		func(ctx context.Context, r peer.CallRequest) *frame.Buffer {
			s.awaitSettings(ctx, r.SettingsVersion, r.SettingsPeer)
			return s.intake.submit(s.config.VM, func() *frame.Buffer { return s.home.Submit(ctx, r) })
		})
	handleStreams(mux, peer.RunsPath, s.config.VM, s.tracer, s.runner,
		func(ctx context.Context, r peer.RunRequest) *frame.Buffer {
			s.awaitSettings(ctx, r.SettingsVersion, r.SettingsPeer)
			return s.intake.submit(s.config.VM, func() *frame.Buffer { return s.runner.Submit(ctx, r) })
		})
	var err error
	if s.peerServer, err = serve.Start(s.group, s.config.ListenPeers,
		requireInstance(s.Instance, s.config.VM, ts.PathPrefix(), mux),
		s.serverOptions()); err != nil {
		return err
	}
	ops, err := serve.Start(s.group, s.config.ListenOperators, serve.NewOperatorHandler(s.ready, s.metrics),
		s.serverOptions())
	if err != nil {
		return err
	}
	s.PeersAddr, s.OperatorsAddr = s.peerServer.Addr(), ops.Addr()
	return nil
}

// serverOptions returns the limits of the listeners.
func (s *Sidecar) serverOptions() serve.Options {
	return serve.Options{
		HeadTimeout: headTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxHeaderLines: maxHeaderBytes / 4, MaxLeadingBytes: maxLeadingBytes, Metrics: s.metrics, Log: s.logger,
	}
}

// advertised returns the address under which other processes reach this one.
func (s *Sidecar) advertised() string {
	if s.config.AdvertisePeers != "" {
		return s.config.AdvertisePeers
	}
	return s.PeersAddr
}

func (s *Sidecar) startTasks() {
	s.reporter = &reporter{
		base: &ctlpb.ReportRequest{
			Vm: s.config.VM, Instance: s.Instance, Address: s.advertised(), DataCentre: s.config.DataCentre,
			Service: s.config.Service, Models: s.config.Models,
		},
		interval: config.Millis(s.config.ReportEveryMS), vms: s.vms, clients: s.clients, runner: s.runner,
		store: s.store, group: s.group, leaving: func() bool { return !s.ready.IsReady() },
		wake: make(chan struct{}, 1),
	}
	s.ready.Set(true)
	if s.config.Service == "" {
		s.reporter.models = newModelWatcher(s.sweeper.upstream, s.config.Models, s.reporter.trigger)
		s.group.Go(s.reporter.models.Run)
		orders := &orderSender{
			vm: s.config.VM, upstream: s.sweeper.upstream, store: s.store, logger: s.logger,
			checksFencing: s.config.ChecksFencing,
		}
		s.group.Go(orders.Run)
	}
	for _, f := range []func(context.Context) error{
		s.follower.Run, s.follower.RunSnapshots, s.vms.Run, s.runner.Run, s.home.Run, s.reporter.Run, s.sweeper.Run,
	} {
		s.group.Go(f)
	}
}

// awaitSettings waits until this process has the settings version on which the sender based its request, or
// settingsTimeout has passed. It first tries to fetch the settings from the entry at the address in from.
func (s *Sidecar) awaitSettings(ctx context.Context, version int64, from string) {
	if s.store.State().Version >= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	if from != "" && peers.FetchSettings(ctx, s.clients.Entry(from), s.store) == nil {
		return
	}
	for s.store.State().Version < version && ctx.Err() == nil {
		select {
		case <-s.store.Changed():
		case <-time.After(settingsPollInterval):
		}
	}
}

// Stop tells entries to send no more work, refuses what still arrives once it is idle or half of its time is over, and
// returns when every call is finished and logged, and what it holds for other homes is in the log, or ctx ends.
func (s *Sidecar) Stop(ctx context.Context) {
	telem.Info(s.logger, "stopping")
	s.ready.Set(false)
	s.reporter.trigger()
	half, cancel := halfOf(ctx)
	s.awaitIdle(half)
	cancel()
	s.intake.close()
	s.awaitIdle(ctx)
	_ = s.peerServer.Drain(ctx)
	_ = s.tracer.Close(ctx)
	telem.Info(s.logger, "stopped", "clean", ctx.Err() == nil)
}

// halfOf returns a context that ends in half of the time that ctx has left.
func halfOf(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

// awaitIdle waits until no call is in progress, or ctx ends.
func (s *Sidecar) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil && !s.idle(ctx) {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Sidecar) idle(ctx context.Context) bool {
	l := s.runner.Load(ctx)
	return l.Running == 0 && l.Queued == 0 && s.home.Stats(ctx).Running == 0 && s.home.Backlog() == 0 &&
		s.home.Held() == 0
}

// VM returns the name of the VM that the sidecar runs on.
func (s *Sidecar) VM() string { return s.config.VM }

// IsHomeOf reports whether this sidecar is the home of the root program.
func (s *Sidecar) IsHomeOf(root string) bool { return s.home.HoldsTree(s.group.Context(), root) }
