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
		lt, ok := c.trees[m.root]
		m.reply <- readTreeReply{lt, ok}
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
	case statsMsg:
		m.reply <- len(c.trees)
	}
}

// apply applies a record of this home's stream. After a claim by another instance this home no longer holds the tree.
func (c *controller) apply(r prog.Record) {
	lt, ok := c.trees[r.Root]
	if !ok && r.Claim != nil && r.Claim.Holder != c.instance {
		c.lostEpochs[r.Root] = max(c.lostEpochs[r.Root], r.Epoch)
		return
	}
	if !ok {
		c.openRoot(r)
		return
	}
	before := lt.Tree
	lt = lt.WithRecord(r)
	if lt.Tree.Holder != c.instance {
		c.lostEpochs[r.Root] = lt.Tree.Epoch
		c.remove(lt.Tree)
		return
	}
	if r.Checkpoint != nil && r.Epoch == lt.Tree.Epoch {
		c.checkpointedAt[r.Root] = time.Now()
	}
	c.trees[r.Root] = lt
	c.handleEnds(before, lt.Tree)
}

// openRoot adds a tree that this home opened itself.
func (c *controller) openRoot(r prog.Record) {
	if r.Open == nil || r.Open.Holder != c.instance {
		return
	}
	c.install(prog.NewLiveTree(prog.Tree{}.Apply(r), c.vm))
}

// install adds the tree unless this home has it at the same or a later epoch, or has lost it to a later epoch.
func (c *controller) install(lt prog.LiveTree) {
	if old, ok := c.trees[lt.Tree.Root]; ok && old.Tree.Epoch >= lt.Tree.Epoch {
		return
	}
	if c.lostEpochs[lt.Tree.Root] > lt.Tree.Epoch {
		return
	}
	c.trees[lt.Tree.Root] = lt
	c.checkpointedAt[lt.Tree.Root] = time.Now()
	c.lastCallAt[lt.Tree.Root] = time.Now()
}

// recordStart stores the tree after the start of a call, and the function that cancels the call.
func (c *controller) recordStart(lt prog.LiveTree, program string, cancel func()) {
	c.trees[lt.Tree.Root] = lt
	c.cancels[program] = cancel
	c.lastCallAt[lt.Tree.Root] = time.Now()
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
	lt, ok := c.trees[m.root]
	if !ok {
		return modelReply{fault: c.notHeld(m.root)}
	}
	lt, plan, f := lt.BeginModelCall(m.call, m.limits)
	if f == nil && plan.Replay == nil {
		c.recordStart(lt, m.call.Program, m.cancel)
	}
	return modelReply{lt, plan, f}
}

func (c *controller) beginService(m serviceMsg) serviceReply {
	lt, ok := c.trees[m.root]
	if !ok {
		return serviceReply{fault: c.notHeld(m.root)}
	}
	var plan prog.ServicePlan
	var f *fault.Fault
	if m.idempotent {
		lt, f = lt.BeginIdempotentCall(m.call.ID, m.call.Program, m.call.Workspace)
	} else {
		lt, plan, f = lt.BeginServiceCall(m.call)
	}
	if f == nil && plan.Replay == nil {
		c.recordStart(lt, m.call.Program, m.cancel)
	}
	return serviceReply{lt, plan, f}
}

func (c *controller) reserveRetry(m reserveRetryMsg) bool {
	lt, ok := c.trees[m.root]
	if !ok {
		return false
	}
	lt, ok = lt.ReserveRetry(m.need)
	c.trees[m.root] = lt
	return ok
}

func (c *controller) notHeld(root string) *fault.Fault {
	return fault.New(fault.ProgramMoved, "home", c.vm, "program %q is not held here", root)
}

func (c *controller) finish(m finishMsg) {
	delete(c.cancels, m.program)
	lt, ok := c.trees[m.root]
	if !ok {
		return
	}
	before := lt.Tree
	for _, r := range m.records {
		lt = lt.WithRecord(r)
	}
	lt = lt.FinishCall(m.program, m.need, m.cost)
	c.trees[m.root] = lt
	c.lastCallAt[m.root] = time.Now()
	c.handleEnds(before, lt.Tree)
	if lt.Tree.Ended() && len(lt.Running) == 0 {
		c.remove(lt.Tree)
	}
}

// idle returns the trees without a running call.
func (c *controller) idle() []idleTree {
	var out []idleTree
	for root, at := range c.lastCallAt {
		if lt := c.trees[root]; len(lt.Running) == 0 {
			out = append(out, idleTree{lt.Tree, time.Since(at)})
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
