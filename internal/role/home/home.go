// Package home implements the sidecar's role as home of programs: it orders the calls of each program, keeps its
// history and budget, and records non-idempotent calls. A control loop owns the program trees; each call runs in a
// goroutine of its own and sends messages to the loop.
package home

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/loop"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/frame"
	"galenaward.example/galenaward/internal/wire/peer"
)

const (
	// maxBacklog is the number of uncommitted records above which new calls are refused.
	maxBacklog = 20_000
	// logRetryAfter is the Retry-After of calls that fail because the log is unavailable.
	logRetryAfter       = time.Second
	maintenanceInterval = time.Second
	flushInterval       = 200 * time.Millisecond
	holdTimeout         = time.Second
	stepHome            = "home"
	stepRecord          = "record"
	stepTakeOver        = "take_over"
)

// Home owns program trees and runs the calls of their programs.
type Home struct {
	opts          Options
	controller    *controller
	loop          *loop.Loop[msg]
	committer     *plog.Committer[prog.Record]
	logTail       *plog.Tail
	standbyBuffer *standbyBuffer
	uncommitted   *uncommitted
	takeovers     singleflight.Group
	ctx           context.Context

	streams *frame.Streams
	// underWay is the number of calls that were submitted and have not ended.
	underWay atomic.Int64
}

// New returns a home, which serves calls once Run was called.
func New(o Options) *Home {
	h := &Home{
		opts: o, standbyBuffer: newStandbyBuffer(), uncommitted: newUncommitted(), streams: frame.NewStreams(),
		ctx: o.Group.Context(),
	}
	h.controller = newController(o.Instance, o.VM, o.MaxCheckpointAge, o.OnProgramEnd)
	h.loop = loop.New(h.controller.handle)
	stream := prog.HolderStream(o.Instance)
	h.committer = plog.NewCommitter(o.Log, stream, o.MinAppendInterval, h.applied)
	h.logTail = plog.NewTail(o.Log, stream, 0, h.committer)
	return h
}

// Run runs the control loop and the background work until ctx is done.
func (h *Home) Run(ctx context.Context) error {
	h.opts.Group.Go(h.committer.Run)
	h.opts.Group.Go(h.logTail.Run)
	h.opts.Group.Go(h.maintain)
	h.opts.Group.Go(h.runFlusher)
	return h.loop.Run(ctx)
}

// applied passes a committed record to the control loop and waits until the loop has applied it.
func (h *Home) applied(r prog.Record) {
	done := make(chan struct{})
	if h.loop.Send(recordMsg{r, done}) {
		select {
		case <-done:
		case <-h.ctx.Done():
		}
	}
}

// Stats returns the number of trees and of calls that were submitted and have not ended.
func (h *Home) Stats(ctx context.Context) Stats {
	trees, _ := loop.Ask(ctx, h.loop, func(reply chan<- int) msg { return statsMsg{reply} })
	return Stats{Trees: trees, Running: int(h.underWay.Load())}
}

// Backlog returns the number of records that are not in the log yet.
func (h *Home) Backlog() int64 { return h.committer.Backlog() }

// Held returns the number of trees of other homes whose records are held here and not in the log yet.
func (h *Home) Held() int { return h.standbyBuffer.len() }

// Appends returns the number of appends sent to the log.
func (h *Home) Appends() int64 { return h.committer.Appends() }

// Submit starts the call, or joins the call with the same id, and returns the buffer of its frames.
func (h *Home) Submit(ctx context.Context, req peer.CallRequest) *frame.Buffer {
	return h.streams.GetOrStart(req.ID, func() (*frame.Buffer, context.CancelFunc) {
		c := newCall(context.WithoutCancel(ctx), h, req)
		h.underWay.Add(1)
		h.opts.Group.Go(func(context.Context) error {
			defer h.underWay.Add(-1)
			c.run()
			h.streams.RemoveLater(req.ID)
			return nil
		})
		if req.Model == nil {
			return c.buf, nil
		}
		return c.buf, c.cancel
	})
}

// Find returns the frame buffer of the call, if the call is known.
func (h *Home) Find(id string) (*frame.Buffer, bool) { return h.streams.Find(id) }

// Cancel cancels a model call whose caller has disconnected. A service call continues until its outcome is known.
func (h *Home) Cancel(id string) { h.streams.Cancel(id) }

// Open creates the root program o.Program or, if o.Parent is set, a sub-agent of that program.
func (h *Home) Open(ctx context.Context, o peer.OpenRequest, at peer.Location) (peer.ProgramView, *fault.Fault) {
	rec, f := h.openRecord(ctx, o, at)
	if f != nil {
		return peer.ProgramView{}, f
	}
	if f := h.commitOrHold(ctx, at.Standby, rec); f != nil {
		return peer.ProgramView{}, f
	}
	return h.Describe(ctx, rec.Open.Program, o.Workspace, at.Suspect)
}

func (h *Home) openRecord(ctx context.Context, o peer.OpenRequest, at peer.Location) (prog.Record, *fault.Fault) {
	if o.Parent == "" {
		id := o.Program
		if _, home, err := prog.ParseID(id); err != nil || home != h.opts.Instance {
			return prog.Record{}, fault.New(fault.ProgramMoved, stepHome, h.opts.VM,
				"program %q does not belong to instance %q", id, h.opts.Instance)
		}
		open := &prog.Open{Program: id, Workspace: o.Workspace, Model: o.Model, Budget: o.Budget, Holder: h.opts.Instance}
		open.Granted = min(o.Budget, h.opts.BudgetChunk)
		return prog.Record{Root: id, Epoch: prog.FirstEpoch, Open: open}, nil
	}
	lt, f := h.ensure(ctx, o.Parent, at)
	if f != nil {
		return prog.Record{}, f
	}
	return lt.OpenChild(o.Parent, o.Workspace, prog.NewChildID(lt.Tree.Root), o.Model)
}

// Describe returns a program that this home holds. A program of the suspect, and an ended one, is read from the log
// without being taken over.
func (h *Home) Describe(ctx context.Context, id, workspace, suspect string) (peer.ProgramView, *fault.Fault) {
	root, _, err := prog.ParseID(id)
	if err != nil {
		return peer.ProgramView{}, fault.New(fault.UnknownProgram, stepHome, h.opts.VM, "%s", err)
	}
	lt, held := h.liveTree(ctx, root)
	if !held {
		t, f := h.resolve(ctx, root)
		if f != nil {
			return peer.ProgramView{}, f
		}
		if t.Holder != suspect && t.Holder != h.opts.Instance && !t.Ended() {
			return peer.ProgramView{}, fault.New(fault.ProgramMoved, stepHome, h.opts.VM,
				"program %q is held by %q", root, t.Holder).WithHolder(t.Holder)
		}
		lt = prog.NewLiveTreeAfterTakeover(t, h.opts.VM)
	}
	p, f := lt.Program(id, workspace)
	if f != nil {
		return peer.ProgramView{}, f
	}
	return peer.ProgramView{
		Program: p, Budget: lt.Tree.Budget, Spent: lt.Spent, Epoch: lt.Tree.Epoch, Holder: lt.Tree.Holder,
	}, nil
}

// End ends the program and its sub-agents.
func (h *Home) End(ctx context.Context, id, workspace string, at peer.Location) (peer.ProgramView, *fault.Fault) {
	lt, f := h.ensure(ctx, id, at)
	if f != nil {
		return peer.ProgramView{}, f
	}
	p, f := lt.Program(id, workspace)
	if f != nil {
		return peer.ProgramView{}, f
	}
	rec := prog.Record{Root: lt.Tree.Root, Epoch: lt.Tree.Epoch, End: &prog.End{Program: id}}
	if f := h.commitOrHold(ctx, at.Standby, rec); f != nil {
		return peer.ProgramView{}, f
	}
	p.Ended = true
	return peer.ProgramView{
		Program: p, Budget: lt.Tree.Budget, Spent: lt.Spent, Epoch: lt.Tree.Epoch, Holder: lt.Tree.Holder,
	}, nil
}

// liveTree returns the state of the tree and its calls if this home holds the tree.
func (h *Home) liveTree(ctx context.Context, root string) (prog.LiveTree, bool) {
	r, err := loop.Ask(ctx, h.loop, func(reply chan<- readTreeReply) msg { return readTreeMsg{root, reply} })
	return r.live, err == nil && r.held
}

// HoldRecords stores records of another home that are not in the log yet. They replace those stored for the tree
// before.
func (h *Home) HoldRecords(ctx context.Context, root string, epoch int64, records []prog.Record) error {
	if lt, held := h.liveTree(ctx, root); held && lt.Tree.Epoch > epoch {
		return fault.New(fault.ProgramMoved, stepRecord, h.opts.VM,
			"program %q is at epoch %d, later than epoch %d of the records", root, lt.Tree.Epoch, epoch)
	}
	return h.standbyBuffer.put(root, epoch, records)
}

// maintain writes a new checkpoint of each tree before its records leave the log's retention, and ends abandoned
// programs.
func (h *Home) maintain(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(maintenanceInterval):
		}
		old, _ := loop.Ask(ctx, h.loop, func(reply chan<- []prog.LiveTree) msg { return checkpointDueMsg{reply} })
		for _, lt := range old {
			h.checkpoint(ctx, lt.Tree)
		}
		h.endAbandoned(ctx)
	}
}

// endAbandoned ends the programs that have made no call for the idle time allowed by their workspace's settings.
func (h *Home) endAbandoned(ctx context.Context) {
	trees, _ := loop.Ask(ctx, h.loop, func(reply chan<- []idleTree) msg { return idleMsg{reply} })
	st := h.opts.Store.State()
	for _, t := range trees {
		branch, _ := st.BranchOf(t.tree.Programs[t.tree.Root].Workspace)
		if t.idle < st.Duration(branch, conf.ProgramIdleMS) {
			continue
		}
		rec := prog.Record{Root: t.tree.Root, Epoch: t.tree.Epoch, End: &prog.End{Program: t.tree.Root}}
		if h.committer.Submit(rec).Wait(ctx) == nil {
			h.opts.Metrics.Add("programs_abandoned", 1)
			telem.Info(h.opts.Logger, "program_abandoned", "program", t.tree.Root, "idle_ms", t.idle.Milliseconds())
		}
	}
}

func (h *Home) checkpoint(ctx context.Context, t prog.Tree) {
	rec := prog.Record{Root: t.Root, Epoch: t.Epoch, Checkpoint: &prog.Checkpoint{Tree: &t}}
	if h.committer.Submit(rec).Wait(ctx) != nil {
		return
	}
	if err := h.appendMoved(ctx, t); err != nil {
		telem.Warn(h.opts.Logger, "checkpoint_pointer_failed", "program", t.Root, "err", err)
	}
}

// HoldsTree reports whether this home holds the tree.
func (h *Home) HoldsTree(ctx context.Context, root string) bool {
	_, held := h.liveTree(ctx, root)
	return held
}
