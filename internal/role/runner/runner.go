// Package runner runs requests on the upstream that a sidecar serves. It makes the last checks before a request reaches
// the upstream: that the key is valid for the workspace, that the request is not quarantined for crashing upstreams,
// and that there is capacity. Waiting requests are scheduled fairly between workspaces.
package runner

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/loop"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/sched/fairq"
	"galenaward.example/galenaward/internal/sched/kvmem"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

const (
	// queueMaxWait is the time in the queue after which a request is served before newer ones of its workspace.
	queueMaxWait = 10 * time.Second
	// crashRetention is how long a crash counts against a request.
	crashRetention = 10 * time.Minute
	// maxHeld limits how many queued jobs that cannot run yet are skipped in one scheduling pass.
	maxHeld = 32
)

// Options configure a Runner.
type Options struct {
	VM       string
	Upstream *Upstream
	Store    *conf.Store
	Metrics  *telem.Metrics
	Logger   log.Logger
	Group    *group.Group
	// Capacity is the number of requests that the upstream runs at once.
	Capacity int
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// MemoryTokens is the size of the engine's prefix cache in tokens; zero if unknown.
	MemoryTokens int64
	// OnCrash is called after each crash of the upstream; it must not block.
	OnCrash func()
}

// Runner runs requests on one upstream. Its control loop owns the queue and the table of crash suspects.
type Runner struct {
	opts Options
	loop *loop.Loop[msg]

	// The fields down to crashedAt are accessed by the control loop only.
	queue    *fairq.Queue[*job]
	memory   *kvmem.Engine
	running  map[*job]struct{}
	suspects crash.Table
	up       bool
	leaving  bool
	// crashID identifies the upstream's last crash, and crashedAt is when it was detected.
	crashID   string
	crashedAt time.Time

	streams *frame.Streams
}

// NewRunner returns a runner that processes requests once Run has been called.
func NewRunner(o Options) *Runner {
	r := &Runner{
		opts: o, queue: fairq.NewQueue[*job](queueMaxWait), running: make(map[*job]struct{}),
		memory:   kvmem.NewEngine(o.MemoryTokens),
		suspects: crash.NewTable(crashRetention), up: true, streams: frame.NewStreams(),
	}
	r.loop = loop.New(r.handle)
	return r
}

// Run processes requests until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.opts.Group.Go(r.runProbes)
	return r.loop.Run(ctx)
}

// Submit starts a run, or joins the one with the same id, and returns its frames.
func (r *Runner) Submit(ctx context.Context, req peer.RunRequest) *frame.Buffer {
	return r.streams.GetOrStart(req.ID, func() (*frame.Buffer, context.CancelFunc) {
		j := r.newJob(ctx, req)
		if !r.loop.Send(submitMsg{j}) {
			j.frames.Fail(fault.New(fault.Unready, stepAdmit, r.opts.VM, "sidecar is stopping"))
		}
		if req.Model == nil {
			return j.frames, nil
		}
		return j.frames, j.cancel
	})
}

// newJob returns a job whose context is detached from ctx, so that the run survives the connection that started it.
func (r *Runner) newJob(ctx context.Context, req peer.RunRequest) *job {
	ctx = context.WithoutCancel(ctx)
	timeout := time.Duration(req.TimeoutMS) * time.Millisecond
	ctx, cancel := group.WithTimeout(ctx, r.opts.Group.Context(), timeout)
	j := &job{req: req, frames: frame.NewBuffer(), ctx: ctx, cancel: cancel, fingerprint: Fingerprint(req)}
	if req.Model != nil {
		j.prompt = promptTokens(req.Model)
	}
	context.AfterFunc(ctx, func() { r.loop.Send(contextDoneMsg{j}) })
	return j
}

// Find returns the frames of the run with the id.
func (r *Runner) Find(id string) (*frame.Buffer, bool) { return r.streams.Find(id) }

// Cancel cancels a model call. A service call cannot be cancelled and runs to completion.
func (r *Runner) Cancel(id string) { r.streams.Cancel(id) }

// Load returns the load of the upstream; if the control loop does not answer, only the capacity is set.
func (r *Runner) Load(ctx context.Context) Load {
	l, err := loop.Ask(ctx, r.loop, func(reply chan<- Load) msg { return loadMsg{reply} })
	if err != nil {
		return Load{Capacity: r.opts.Capacity}
	}
	return l
}

// AddCrashes records crashes that other processes observed.
func (r *Runner) AddCrashes(crashes []peer.CrashRecord) {
	if len(crashes) > 0 {
		r.loop.Send(crashReportMsg{crashes})
	}
}

// Leave makes the runner refuse new requests.
func (r *Runner) Leave() { r.loop.Send(leaveMsg{}) }

func (r *Runner) handle(m msg) {
	switch m := m.(type) {
	case submitMsg:
		r.admit(m.j)
	case runEndedMsg:
		r.complete(m.j, m.r)
	case contextDoneMsg:
		r.cancelQueued(m.j)
	case crashReportMsg:
		r.addCrashes(m.crashes)
	case loadMsg:
		m.reply <- r.load()
	case probeMsg:
		r.up = m.up
		r.failQueued()
	case leaveMsg:
		r.leaving = true
	}
	r.launchQueued()
}

func (r *Runner) load() Load {
	l := Load{
		Running: len(r.running), Queued: r.queue.Len(), Capacity: r.opts.Capacity, UpstreamUp: r.up, Leaving: r.leaving,
	}
	r.suspects.Each(time.Now(), func(f uint64, events []string) {
		l.Crashes = append(l.Crashes, peer.CrashRecord{Fingerprint: f, CrashIDs: events})
	})
	return l
}

// launchQueued sends queued jobs to the upstream while it has capacity. Two suspects never run at the same time, and a
// job may have to wait for engine memory. Such jobs are put back at the end of the pass; until then their workspaces
// stay charged for them, so that the next job popped comes from another workspace.
func (r *Runner) launchQueued() {
	var held []fairq.Item[*job]
	for len(r.running) < r.opts.Capacity && r.up && len(held) < maxHeld {
		it, ok := r.queue.Pop(time.Now())
		if !ok {
			break
		}
		if (it.Value.suspect && r.suspectRunning()) || !r.fitsMemory(it) {
			held = append(held, it)
			continue
		}
		it.Value.priority = int64(it.RunningCost)
		r.launch(it.Value)
	}
	for _, it := range held {
		r.queue.PutBack(it)
	}
}

// failQueued fails all queued jobs while the upstream is down, so that they can be retried on another one.
func (r *Runner) failQueued() {
	for !r.up {
		it, ok := r.queue.Pop(time.Now())
		if !ok {
			return
		}
		r.queue.Settle(it, 0)
		r.finish(it.Value, r.admissionFault(it.Value))
	}
}

func (r *Runner) suspectRunning() bool {
	for j := range r.running {
		if j.suspect {
			return true
		}
	}
	return false
}

func (r *Runner) launch(j *job) {
	r.running[j] = struct{}{}
	r.reserveMemory(j)
	j.sentAt = time.Now()
	r.opts.Group.Go(func(context.Context) error {
		res := r.opts.Upstream.run(j)
		res.crashed = res.restarted || (res.connLost && !r.upstreamAlive())
		r.loop.Send(runEndedMsg{j, res})
		return nil
	})
}

// complete handles the end of a run and frees its place on the upstream.
func (r *Runner) complete(j *job, res result) {
	if res.crashed {
		r.recordCrash(j, res.restarted)
		res.fault = res.fault.WithCrash(j.fingerprint, r.crashID)
	}
	delete(r.running, j)
	r.queue.Settle(j.item, res.cost)
	r.recordCacheUse(j, res)
	if res.fault == nil && j.suspect {
		r.suspects = r.suspects.WithSuccess(j.fingerprint, time.Now())
	}
	r.finish(j, res.fault)
}

// cancelQueued removes a job from the queue when its context is done. A running job is stopped by the context itself.
func (r *Runner) cancelQueued(j *job) {
	if r.queue.Remove(j.req.Workspace, j.req.ID) {
		r.finish(j, fault.New(fault.UpstreamTimeout, stepAdmit, r.opts.VM,
			"request timed out or was cancelled in the queue").WithRetryAfter(time.Second))
	}
}

// finish ends the job's frames, with the fault if there is one, and schedules the removal of its stream.
func (r *Runner) finish(j *job, f *fault.Fault) {
	if f != nil && r.opts.Group.Context().Err() == nil {
		j.frames.Fail(f)
	}
	j.cancel()
	r.streams.RemoveLater(j.req.ID)
}
