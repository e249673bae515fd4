package chain_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"galenaward.example/galenaward/internal/state/chain"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
)

const (
	modelRoot      = "x.1~root"
	modelKey       = "order-1"
	modelWorkspace = "demo"
)

// modelState is one state of the model: streams, pending appends and processes. An append takes effect at any later
// time, never, or twice. The appends of one committer take effect for the first time in the order in which they were
// sent, because the committer sends the next one only after the previous one was acknowledged or read back. A frozen
// process is one that the explorer doesn't select for a step.
type modelState struct {
	streams    map[string][][]byte
	appends    []pendingAppend
	processes  []process
	dispatched int
}

type pendingAppend struct {
	Stream string
	Data   string
	// Remaining is the number of times that the append may still take effect.
	Remaining int
	// Ordered means that a committer sent the append and it has not taken effect yet.
	Ordered bool
}

// blocked reports whether append i must wait for an earlier append to the same stream to take effect.
func (m *modelState) blocked(i int) bool {
	return m.appends[i].Ordered && slices.ContainsFunc(m.appends[:i], func(o pendingAppend) bool {
		return o.Ordered && o.Stream == m.appends[i].Stream
	})
}

// process is a sidecar that serves one attempt of the call. It is the first holder, or it takes over before it serves
// the call.
type process struct {
	ID     string
	PC     int
	Live   prog.LiveTree
	Claim  prog.Tree
	Intent prog.Intent
	// Retries is the number of times that the caller will still retry the call here after the outcome "not run".
	Retries int
}

// Values of process.PC: the step that the process takes next.
const (
	pcResolve = iota
	pcClaimed
	pcBegin
	pcReadBack
	pcDispatch
	pcOutcome
	pcEnd
)

// Append and Read implement plog.Log. They take effect immediately.
func (m *modelState) Append(_ context.Context, stream string, data []byte) (int64, error) {
	m.streams[stream] = append(slices.Clone(m.streams[stream]), data)
	return int64(len(m.streams[stream]) - 1), nil
}

func (m *modelState) Read(_ context.Context, stream string, from, _ int64) (plog.Page, error) {
	p := plog.Page{Next: int64(len(m.streams[stream]))}
	for i := from; i < p.Next; i++ {
		p.Entries = append(p.Entries, plog.Entry{Offset: i, Data: m.streams[stream][i]})
	}
	return p, nil
}

func (m *modelState) clone() *modelState {
	n := *m
	n.streams = maps.Clone(m.streams)
	n.appends = slices.Clone(m.appends)
	n.processes = slices.Clone(m.processes)
	return &n
}

func (m *modelState) key() string {
	var b strings.Builder
	for _, s := range slices.Sorted(maps.Keys(m.streams)) {
		fmt.Fprintf(&b, "%s%q", s, m.streams[s])
	}
	for _, p := range m.processes {
		fmt.Fprint(&b, p.PC, p.Retries, p.Intent.Attempt, p.Claim.Epoch,
			p.Live.Tree.Epoch, p.Live.Running, p.Live.Tree.Programs[modelRoot].Calls)
	}
	fmt.Fprint(&b, m.appends, m.dispatched)
	return b.String()
}

func encode(r prog.Record) []byte {
	b, _ := json.Marshal(plog.Batch[prog.Record]{Records: []prog.Record{r}})
	return b
}

func (m *modelState) sendAppend(stream string, r prog.Record, times int) {
	m.appends = append(m.appends, pendingAppend{stream, string(encode(r)), times, r.Claim == nil})
}

// explorer visits every state that any interleaving of the steps and appends can reach.
type explorer struct {
	seen map[string]bool
	// readBack makes processes wait until the intent is read back before they send the call.
	readBack      bool
	maxDispatched int
	states        int
}

func (x *explorer) explore(m *modelState) {
	k := m.key()
	if x.seen[k] {
		return
	}
	x.seen[k] = true
	x.states++
	x.maxDispatched = max(x.maxDispatched, m.dispatched)
	for i, f := range m.appends {
		if m.blocked(i) {
			continue
		}
		n := m.clone()
		n.appends[i].Ordered = false
		_, _ = n.Append(context.Background(), f.Stream, []byte(f.Data))
		n.appends[i].Remaining--
		if n.appends[i].Remaining == 0 {
			n.appends = slices.Delete(n.appends, i, i+1)
		}
		x.explore(n)
	}
	for i := range m.processes {
		for _, n := range x.step(m, i) {
			x.explore(n)
		}
	}
}

// step returns the states that one step of process i can lead to.
func (x *explorer) step(m *modelState, i int) []*modelState {
	n := m.clone()
	p := &n.processes[i]
	switch p.PC {
	case pcResolve:
		t, err := chain.Resolve(context.Background(), n, modelRoot)
		if err != nil || t.Holder == p.ID {
			return nil
		}
		p.Claim = t
		n.sendAppend(prog.HolderStream(t.Holder), prog.Record{
			Root: modelRoot, Epoch: t.Epoch + 1, Claim: &prog.Claim{Holder: p.ID},
		}, 1)
		p.PC = pcClaimed
	case pcClaimed:
		t, err := chain.Resolve(context.Background(), n, modelRoot)
		if err != nil || t.Epoch == p.Claim.Epoch {
			return nil
		}
		if t.Holder != p.ID {
			p.PC = pcEnd
			break
		}
		_, _ = n.Append(context.Background(), prog.HolderStream(p.ID), encode(prog.Record{
			Root: modelRoot, Epoch: t.Epoch, Checkpoint: &prog.Checkpoint{Tree: &t},
		}))
		p.Live = prog.NewLiveTreeAfterTakeover(t, p.ID)
		p.PC = pcBegin
	case pcBegin:
		beginCall(n, p)
	case pcReadBack:
		return x.readBackOrAbandon(n, i)
	case pcDispatch:
		n.dispatched++
		p.PC = pcOutcome
	case pcOutcome:
		out := &prog.Outcome{Program: modelRoot, Key: modelKey, Attempt: p.Intent.Attempt, State: prog.StateDone}
		n.sendAppend(prog.HolderStream(p.ID), prog.Record{Root: modelRoot, Epoch: p.Live.Tree.Epoch, Outcome: out}, 1)
		p.PC = pcEnd
	default:
		return nil
	}
	return []*modelState{n}
}

func beginCall(n *modelState, p *process) {
	d, plan, f := p.Live.BeginServiceCall(prog.ServiceCall{
		ID: "c", Program: modelRoot, Workspace: modelWorkspace, Key: modelKey, Digest: "d",
	})
	if f != nil || plan.Replay != nil {
		p.PC = pcEnd
		return
	}
	p.Live, p.Intent = d, plan.Intent
	n.sendAppend(prog.HolderStream(p.ID), prog.Record{Root: modelRoot, Epoch: d.Tree.Epoch, Intent: &plan.Intent}, 2)
	p.PC = pcReadBack
}

// readBackOrAbandon returns the state in which the process has abandoned the call with the outcome "not run" and, if
// the intent is in the stream, the state in which the process has read it back. In the latter state, the process goes
// on to send the call only if no claim precedes the intent.
func (x *explorer) readBackOrAbandon(n *modelState, i int) []*modelState {
	p := &n.processes[i]
	if !x.readBack {
		p.PC = pcDispatch
		return []*modelState{n}
	}
	abandoned := n.clone()
	g := &abandoned.processes[i]
	g.PC = pcEnd
	out := &prog.Outcome{Program: modelRoot, Key: modelKey, Attempt: p.Intent.Attempt, State: prog.StateNotRun}
	rec := prog.Record{Root: modelRoot, Epoch: p.Live.Tree.Epoch, Outcome: out}
	abandoned.sendAppend(prog.HolderStream(p.ID), rec, 1)
	if g.Retries > 0 {
		g.Retries--
		g.PC = pcBegin
		intent := prog.Record{Root: modelRoot, Epoch: p.Live.Tree.Epoch, Intent: &p.Intent}
		g.Live = p.Live.WithRecord(intent).WithRecord(rec).FinishCall(modelRoot, 0, 0)
	}
	t := p.Live.Tree
	page, _ := n.Read(context.Background(), prog.HolderStream(p.ID), 0, 0)
	for _, e := range page.Entries {
		b, _ := plog.DecodeBatch[prog.Record](e)
		for _, r := range b.Records {
			t = t.Apply(r)
			if r.Intent != nil && r.Epoch == p.Live.Tree.Epoch && r.Intent.Attempt == p.Intent.Attempt {
				if t.Holder == p.ID && t.Epoch == p.Live.Tree.Epoch {
					p.PC = pcDispatch
				} else {
					p.PC = pcEnd
				}
				return []*modelState{n, abandoned}
			}
		}
	}
	return []*modelState{abandoned}
}

func newModelState(successors ...string) *modelState {
	open := prog.Record{Root: modelRoot, Epoch: 1, Open: &prog.Open{
		Program: modelRoot, Workspace: modelWorkspace, Model: "m", Budget: 10, Granted: 10, Holder: "x.1",
	}}
	m := &modelState{streams: map[string][][]byte{prog.HolderStream("x.1"): {encode(open)}}}
	m.processes = append(m.processes, process{
		ID: "x.1", PC: pcBegin, Live: prog.NewLiveTree(prog.Tree{}.Apply(open), "x"),
	})
	for _, t := range successors {
		m.processes = append(m.processes, process{ID: t})
	}
	return m
}

// TestCallIsSentOnceInEveryInterleaving guards against sending a non-idempotent call twice. It visits every state of a
// first holder and two successors that take over and serve the same call, with appends that are delayed, lost or
// duplicated and processes that freeze at any step.
func TestCallIsSentOnceInEveryInterleaving(t *testing.T) {
	x := &explorer{seen: make(map[string]bool), readBack: true}
	x.explore(newModelState("y.1", "z.1"))
	t.Logf("%d states", x.states)
	if x.maxDispatched != 1 {
		t.Fatalf("the call was sent %d times in one interleaving", x.maxDispatched)
	}
}

// TestCallIsSentOnceWhenRetriedAfterNotRun adds a retry of the call at the first holder after an outcome of "not run".
func TestCallIsSentOnceWhenRetriedAfterNotRun(t *testing.T) {
	x := &explorer{seen: make(map[string]bool), readBack: true}
	m := newModelState("y.1")
	m.processes[0].Retries = 1
	x.explore(m)
	t.Logf("%d states", x.states)
	if x.maxDispatched != 1 {
		t.Fatalf("the call was sent %d times in one interleaving", x.maxDispatched)
	}
}

// TestModelDetectsMissingReadBack shows that the model can detect a fault: if processes don't read the intent back
// before they send the call, it is sent twice.
func TestModelDetectsMissingReadBack(t *testing.T) {
	x := &explorer{seen: make(map[string]bool)}
	x.explore(newModelState("y.1"))
	if x.maxDispatched < 2 {
		t.Fatal("no interleaving sends the call twice although the intent is not read back")
	}
}
