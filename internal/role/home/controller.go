package home

import (
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/prog"
)

// controller owns the trees that this home holds. Only the control loop calls its methods, except notHeld.
type controller struct {
	instance, vm string
	trees        map[string]prog.LiveTree
	// cancels maps a program to the cancel function of its running call.
	cancels map[string]func()
	// checkpointedAt is the time of the last checkpoint of each tree, or of its installation.
	checkpointedAt map[string]time.Time
	// lastCallAt is when a call of the tree last started or ended, or when the tree was installed.
	lastCallAt map[string]time.Time
	// lostEpochs maps a root to the epoch as of which another instance holds the tree.
	lostEpochs       map[string]int64
	maxCheckpointAge time.Duration
	// onEnded is called for each program that ended here.
	onEnded func(program string)
}

func newController(instance, vm string, maxAge time.Duration, onEnded func(string)) *controller {
	return &controller{
		instance: instance, vm: vm, maxCheckpointAge: maxAge, onEnded: onEnded, trees: make(map[string]prog.LiveTree),
		cancels: make(map[string]func()), checkpointedAt: make(map[string]time.Time),
		lostEpochs: make(map[string]int64), lastCallAt: make(map[string]time.Time),
	}
}

func (c *controller) handle(m msg) {
	switch m := m.(type) {
	case recordMsg:
		c.apply(m.rec)
		close(m.done)
	case installMsg:
		c.install(m.live)
		close(m.done)
	case readTreeMsg:
		d, ok := c.trees[m.root]
		m.reply <- readTreeReply{d, ok}
	case modelMsg:
		m.reply <- c.beginModel(m)
	case serviceMsg:
		m.reply <- c.beginService(m)
	case reserveRetryMsg:
		m.reply <- c.reserveRetry(m)
	case finishMsg:
		c.finish(m)
		close(m.done)
	case checkpointDueMsg:
		m.reply <- c.checkpointDue()
	case idleMsg:
		m.reply <- c.idle()
	case countMsg:
		m.reply <- Stats{Trees: len(c.trees), Running: len(c.cancels)}
	}
}

// apply applies a record of this home's stream. After a claim by another instance this home no longer holds the tree.
func (c *controller) apply(r prog.Record) {
	d, ok := c.trees[r.Root]
	if !ok && r.Claim != nil && r.Claim.Holder != c.instance {
		c.lostEpochs[r.Root] = max(c.lostEpochs[r.Root], r.Epoch)
		return
	}
	if !ok {
		c.openRoot(r)
		return
	}
	before := d.Tree
	d = d.WithRecord(r)
	if d.Tree.Holder != c.instance {
		c.lostEpochs[r.Root] = d.Tree.Epoch
		c.remove(d.Tree)
		return
	}
	if r.Checkpoint != nil && r.Epoch == d.Tree.Epoch {
		c.checkpointedAt[r.Root] = time.Now()
	}
	c.trees[r.Root] = d
	c.handleEnds(before, d.Tree)
}

// openRoot adds a tree that this home opened itself.
func (c *controller) openRoot(r prog.Record) {
	if r.Open == nil || r.Open.Holder != c.instance {
		return
	}
	c.install(prog.NewLiveTree(prog.Tree{}.Apply(r), c.vm))
}

// install adds the tree unless this home has it at the same or a later epoch, or has lost it to a later epoch.
func (c *controller) install(d prog.LiveTree) {
	if old, ok := c.trees[d.Tree.Root]; ok && old.Tree.Epoch >= d.Tree.Epoch {
		return
	}
	if c.lostEpochs[d.Tree.Root] > d.Tree.Epoch {
		return
	}
	c.trees[d.Tree.Root] = d
	c.checkpointedAt[d.Tree.Root] = time.Now()
	c.lastCallAt[d.Tree.Root] = time.Now()
}

// recordStart stores the tree after the start of a call, and the function that cancels the call.
func (c *controller) recordStart(d prog.LiveTree, program string, cancel func()) {
	c.trees[d.Tree.Root] = d
	c.cancels[program] = cancel
	c.lastCallAt[d.Tree.Root] = time.Now()
}

// remove removes a tree that ended or that another instance holds, and cancels its calls.
func (c *controller) remove(t prog.Tree) {
	delete(c.trees, t.Root)
	delete(c.checkpointedAt, t.Root)
	delete(c.lastCallAt, t.Root)
	for id := range t.Programs {
		if cancel, ok := c.cancels[id]; ok {
			cancel()
		}
	}
}

// handleEnds cancels the calls of programs that ended between the two states. An ended tree is removed once none of
// its calls is running.
func (c *controller) handleEnds(before, after prog.Tree) {
	for id, p := range after.Programs {
		if !p.Ended || before.Programs[id].Ended {
			continue
		}
		if cancel, ok := c.cancels[id]; ok {
			cancel()
		}
		c.onEnded(id)
	}
	if after.Ended() && len(c.trees[after.Root].Running) == 0 {
		c.remove(after)
	}
}

func (c *controller) beginModel(m modelMsg) modelReply {
	d, ok := c.trees[m.root]
	if !ok {
		return modelReply{fault: c.notHeld(m.root)}
	}
	d, plan, f := d.BeginModelCall(m.call, m.limits)
	if f == nil && plan.Replay == nil {
		c.recordStart(d, m.call.Program, m.cancel)
	}
	return modelReply{d, plan, f}
}

func (c *controller) beginService(m serviceMsg) serviceReply {
	d, ok := c.trees[m.root]
	if !ok {
		return serviceReply{fault: c.notHeld(m.root)}
	}
	var plan prog.ServicePlan
	var f *fault.Fault
	if m.idempotent {
		d, f = d.BeginIdempotentCall(m.call.ID, m.call.Program, m.call.Workspace)
	} else {
		d, plan, f = d.BeginServiceCall(m.call)
	}
	if f == nil && plan.Replay == nil {
		c.recordStart(d, m.call.Program, m.cancel)
	}
	return serviceReply{d, plan, f}
}

func (c *controller) reserveRetry(m reserveRetryMsg) bool {
	d, ok := c.trees[m.root]
	if !ok {
		return false
	}
	d, ok = d.ReserveRetry(m.need)
	c.trees[m.root] = d
	return ok
}

func (c *controller) notHeld(root string) *fault.Fault {
	return fault.New(fault.ProgramMoved, "home", c.vm, "program %q is not held here", root)
}

func (c *controller) finish(m finishMsg) {
	delete(c.cancels, m.program)
	d, ok := c.trees[m.root]
	if !ok {
		return
	}
	before := d.Tree
	for _, r := range m.records {
		d = d.WithRecord(r)
	}
	d = d.FinishCall(m.program, m.need, m.cost)
	c.trees[m.root] = d
	c.lastCallAt[m.root] = time.Now()
	c.handleEnds(before, d.Tree)
	if d.Tree.Ended() && len(d.Running) == 0 {
		c.remove(d.Tree)
	}
}

// idle returns the trees without a running call.
func (c *controller) idle() []idleTree {
	var out []idleTree
	for root, at := range c.lastCallAt {
		if d := c.trees[root]; len(d.Running) == 0 {
			out = append(out, idleTree{d.Tree, time.Since(at)})
		}
	}
	return out
}

// checkpointDue returns the trees that need a new checkpoint before their records leave the log's retention.
func (c *controller) checkpointDue() []prog.LiveTree {
	var out []prog.LiveTree
	for root, at := range c.checkpointedAt {
		if time.Since(at) > c.maxCheckpointAge {
			out = append(out, c.trees[root])
		}
	}
	return out
}
