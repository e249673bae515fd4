// Package exec runs requests on the one upstream beside a sidecar. It is the last check before the upstream:
// key and workspace, crash suspicion, capacity and fair order.
package exec

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/loop"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/sched/poison"
	"galenaward.example/galenaward/internal/sched/share"
	"galenaward.example/galenaward/internal/sched/space"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

const (
	// queueMaxWait is the age from which a request goes before younger ones of its workspace.
	queueMaxWait = 10 * time.Second
	// suspicionLife is how long crashes of a request are remembered.
	suspicionLife = 10 * time.Minute
	// maxHeld bounds the jobs that are passed over at a time.
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
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// MemoryTokens is the engine's memory for caches in tokens; zero if it is not known.
	MemoryTokens int64
	// OnCrash is called with each new crash; it must not block.
	OnCrash func()
}

// Runner runs requests on one upstream. Its control loop owns the queue and the suspects.
type Runner struct {
	o    Options
	loop *loop.Loop[msg]

	// The fields below belong to the control loop.
	queue   *share.Queue[*job]
	space   *space.Engine
	running map[*job]struct{}
	table   poison.Table
	up      bool
	leaving bool
	// event is the id of the upstream's last death, and died when it was noticed.
	event string
	died  time.Time

	streams *frame.Set
}

// NewRunner returns a runner. Run must be called for it to work.
func NewRunner(o Options) *Runner {
	r := &Runner{
		o: o, queue: share.NewQueue[*job](queueMaxWait), running: make(map[*job]struct{}),
		space: space.NewEngine(o.MemoryTokens),
		table: poison.NewTable(suspicionLife), up: true, streams: frame.NewSet(),
	}
	r.loop = loop.New(r.handle)
	return r
}

// Run works until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.o.Group.Go(r.probe)
	return r.loop.Run(ctx)
}

// Submit begins the run or joins the one with the same id, and returns its frames.
func (r *Runner) Submit(ctx context.Context, req peer.RunRequest) *frame.Buffer {
	return r.streams.Begin(req.ID, func() (*frame.Buffer, context.CancelFunc) {
		j := r.newJob(ctx, req)
		if !r.loop.Send(submitMsg{j}) {
			j.buf.Fail(fault.New(fault.Unready, stepAdmit, r.o.VM, "sidecar is stopping"))
		}
		if req.Model == nil {
			return j.buf, nil
		}
		return j.buf, j.cancel
	})
}

// newJob gives the run a context of its own, so that it survives the connection that began it.
func (r *Runner) newJob(ctx context.Context, req peer.RunRequest) *job {
	ctx = context.WithoutCancel(ctx)
	timeout := time.Duration(req.TimeoutMS) * time.Millisecond
	ctx, cancel := group.WithTimeout(ctx, r.o.Group.Context(), timeout)
	j := &job{req: req, buf: frame.NewBuffer(), ctx: ctx, cancel: cancel, fingerprint: Fingerprint(req)}
	if req.Model != nil {
		j.prompt = promptTokens(req.Model)
	}
	context.AfterFunc(ctx, func() { r.loop.Send(abandonMsg{j}) })
	return j
}

// Find returns the frames of a run that is known.
func (r *Runner) Find(id string) (*frame.Buffer, bool) { return r.streams.Find(id) }

// Cancel ends a model run. A service call runs on to its outcome.
func (r *Runner) Cancel(id string) { r.streams.Cancel(id) }

// Load returns the state of the upstream.
func (r *Runner) Load(ctx context.Context) Load {
	l, err := loop.Ask(ctx, r.loop, func(reply chan<- Load) msg { return loadMsg{reply} })
	if err != nil {
		return Load{Capacity: r.o.Capacity}
	}
	return l
}

// Learn takes crashes that other processes saw.
func (r *Runner) Learn(crashes []peer.Crash) {
	if len(crashes) > 0 {
		r.loop.Send(reportMsg{crashes})
	}
}

// Leave makes the runner refuse new work.
func (r *Runner) Leave() { r.loop.Send(leaveMsg{}) }

func (r *Runner) handle(m msg) {
	switch m := m.(type) {
	case submitMsg:
		r.admit(m.j)
	case endedMsg:
		r.ended(m.j, m.r)
	case abandonMsg:
		r.abandon(m.j)
	case reportMsg:
		r.learn(m.crashes)
	case loadMsg:
		m.reply <- r.load()
	case upMsg:
		r.up = m.up
		r.refuseWaiting()
	case leaveMsg:
		r.leaving = true
	}
	r.start()
}

func (r *Runner) load() Load {
	l := Load{Running: len(r.running), Queued: r.queue.Len(), Capacity: r.o.Capacity, Up: r.up, Leaving: r.leaving}
	r.table.Each(time.Now(), func(f uint64, events []string) {
		l.Crashes = append(l.Crashes, peer.Crash{Fingerprint: f, Events: events})
	})
	return l
}

// start sends waiting jobs while the upstream has room. Jobs that have to wait for others go back to the queue; each
// was charged meanwhile, so that the next one comes from another workspace.
func (r *Runner) start() {
	var held []share.Item[*job]
	for len(r.running) < r.o.Capacity && r.up && len(held) < maxHeld {
		it, ok := r.queue.Pop(time.Now())
		if !ok {
			break
		}
		if (it.Value.suspect && r.suspectRuns()) || !r.fits(it) {
			held = append(held, it)
			continue
		}
		it.Value.priority = int64(it.Beside)
		r.launch(it.Value)
	}
	for _, it := range held {
		r.queue.PutBack(it)
	}
}

// refuseWaiting sends waiting jobs elsewhere when the upstream does not answer.
func (r *Runner) refuseWaiting() {
	for !r.up {
		it, ok := r.queue.Pop(time.Now())
		if !ok {
			return
		}
		r.queue.Settle(it, 0)
		r.finish(it.Value, r.refusal(it.Value))
	}
}

func (r *Runner) suspectRuns() bool {
	for j := range r.running {
		if j.suspect {
			return true
		}
	}
	return false
}

func (r *Runner) launch(j *job) {
	r.running[j] = struct{}{}
	r.beginSpace(j)
	j.launched = time.Now()
	r.o.Group.Go(func(context.Context) error {
		res := r.o.Upstream.run(j)
		res.crash = res.restarted || (res.broke && !r.alive())
		r.loop.Send(endedMsg{j, res})
		return nil
	})
}

// ended frees the job's place.
func (r *Runner) ended(j *job, res result) {
	if res.crash {
		r.crashed(j, res.restarted)
		res.fault = res.fault.WithCrash(j.fingerprint, r.event)
	}
	delete(r.running, j)
	r.queue.Settle(j.item, res.cost)
	r.endSpace(j, res)
	if res.fault == nil && j.suspect {
		r.table = r.table.WithSuccess(j.fingerprint, time.Now())
	}
	r.finish(j, res.fault)
}

// abandon ends a job that waits; one that runs ends through its context.
func (r *Runner) abandon(j *job) {
	if r.queue.Remove(j.req.Workspace, j.req.ID) {
		r.finish(j, fault.New(fault.UpstreamTimeout, stepAdmit, r.o.VM, "the request was given up while it waited").WithRetryAfter(time.Second))
	}
}

// finish ends the job's frames and forgets it after a while.
func (r *Runner) finish(j *job, f *fault.Fault) {
	if f != nil && r.o.Group.Context().Err() == nil {
		j.buf.Fail(f)
	}
	j.cancel()
	r.streams.EndLater(j.req.ID)
}
