package prog

import (
	"encoding/json"
	"maps"

	"galenaward.example/galenaward/internal/plat/fault"
)

const (
	stepOrder  = "order"
	stepBudget = "budget"
	stepOnce   = "once"
	// templateTokens is the upper bound on the tokens that a chat template adds to one message.
	templateTokens = 16
)

// LiveTree is a tree at its holder: the recorded state plus the calls in flight, which have no record yet. It is immutable.
type LiveTree struct {
	Tree Tree
	// Spent is the number of tokens that were or may have been used. Spent plus Reserved never exceeds Tree.Granted.
	Spent int64
	// Reserved is the number of tokens that running calls may still use.
	Reserved int64
	// Running maps a program's ID to the ID of its running call. A program runs at most one call at a time.
	Running map[string]string
	// VM is the holder's VM, reported in faults.
	VM string
}

// NewLiveTree returns a Desk for a tree that this instance has just opened.
func NewLiveTree(t Tree, vm string) LiveTree { return LiveTree{Tree: t, VM: vm} }

// NewLiveTreeAfterTakeover returns a Desk for a tree taken over from another holder. All granted tokens count as spent, because the
// previous holder may have spent them without recording it.
func NewLiveTreeAfterTakeover(t Tree, vm string) LiveTree {
	return LiveTree{Tree: t, VM: vm, Spent: t.Granted}
}

// WithRecord returns a copy with the record applied to its tree.
func (d LiveTree) WithRecord(r Record) LiveTree {
	d.Tree = d.Tree.Apply(r)
	return d
}

// ModelCall is a request for the next turn of a program.
type ModelCall struct {
	ID, Program, Workspace string
	// Key is the idempotency key, if any.
	Key    string
	Digest string
	// Turn is the turn number that the caller expects; zero means the next.
	Turn int
	// Messages are the new messages, preceded by the whole history if Full is set.
	Messages    []Message
	FullHistory bool
	// MaxOutput is the caller's limit on the response in tokens; zero applies the configured limit.
	MaxOutput int64
}

// ModelPlan describes how to run a model call.
type ModelPlan struct {
	// Replay is the stored response of an earlier call with the same key. If it is set, nothing is run.
	Replay json.RawMessage
	// Turn is the number of the turn to run.
	Turn int
	// NewMessages are the messages that follow the history.
	NewMessages []Message
	// Prompt is the history followed by New.
	Prompt []Message
	// MaxOutput is the limit on the response in tokens.
	MaxOutput int64
	// ReservedTokens is the number of tokens reserved for the call.
	ReservedTokens int64
	// GrantTotal is the new total of granted tokens, which must be in the log before the call is sent. It is zero if the
	// current grant suffices.
	GrantTotal int64
}

// BeginModelCall reserves the program's next turn and the tokens for the call.
func (d LiveTree) BeginModelCall(c ModelCall, l Limits) (LiveTree, ModelPlan, *fault.Fault) {
	p, f := d.lookup(c.Program, c.Workspace)
	if f != nil {
		return d, ModelPlan{}, f
	}
	if plan, f, found := d.repeatedModelCall(p, c); found {
		return d, plan, f
	}
	if f := d.checkNextTurn(p, c, l); f != nil {
		return d, ModelPlan{}, f
	}
	plan := ModelPlan{Turn: p.Turns + 1, NewMessages: c.Messages}
	if c.FullHistory {
		ms, ok := p.Extends(c.Messages)
		if !ok {
			return d, plan, fault.New(fault.HistoryMismatch, stepOrder, d.VM,
				"messages must begin with the %d messages of program %q and add at least one", len(p.History), p.ID)
		}
		plan.NewMessages = ms
	}
	plan.Prompt = append(p.History[:len(p.History):len(p.History)], plan.NewMessages...)
	return d.reserve(p, c, plan, l)
}

// repeatedModelCall returns the plan or fault for a call whose idempotency key was used before. It reports false if the
// key is new.
func (d LiveTree) repeatedModelCall(p Program, c ModelCall) (ModelPlan, *fault.Fault, bool) {
	if c.Key == "" {
		return ModelPlan{}, nil, false
	}
	old, ok := p.Call(c.Key)
	if !ok {
		return ModelPlan{}, nil, false
	}
	if old.Digest != c.Digest {
		return ModelPlan{}, d.keyReused(c.Key), true
	}
	if len(old.Response) == 0 {
		return ModelPlan{}, fault.New(fault.TurnPassed, stepOrder, d.VM,
			"the call was turn %d; its response is no longer stored and remains only in the history", old.Turn).
			WithOutcome(fault.Ran), true
	}
	return ModelPlan{Replay: old.Response, Turn: old.Turn}, nil, true
}

func (d LiveTree) checkNextTurn(p Program, c ModelCall, l Limits) *fault.Fault {
	if p.Ended {
		return fault.New(fault.ProgramEnded, stepOrder, d.VM, "program %q has ended", p.ID)
	}
	if f := d.checkIdle(p.ID); f != nil {
		return f
	}
	if c.Turn != 0 && c.Turn <= p.Turns {
		return fault.New(fault.TurnPassed, stepOrder, d.VM,
			"turn %d is already complete; the next turn is %d", c.Turn, p.Turns+1)
	}
	if c.Turn > p.Turns+1 {
		return fault.New(fault.TurnAhead, stepOrder, d.VM, "turn %d cannot run before turn %d", c.Turn, p.Turns+1)
	}
	if p.Turns >= l.MaxTurns {
		return fault.New(fault.TurnLimit, stepOrder, d.VM, "program %q has made all of its %d turns", p.ID, l.MaxTurns)
	}
	return nil
}

// reserve reserves the maximum number of tokens that the call can use. The output limit is reduced to what remains of
// the budget.
func (d LiveTree) reserve(p Program, c ModelCall, plan ModelPlan, l Limits) (LiveTree, ModelPlan, *fault.Fault) {
	plan.MaxOutput = l.MaxOutput
	if c.MaxOutput > 0 {
		plan.MaxOutput = min(c.MaxOutput, l.MaxOutput)
	}
	prompt := p.ContextTokens + maxTokens(plan.NewMessages)
	left := d.Tree.Budget - d.Spent - d.Reserved
	plan.MaxOutput = min(plan.MaxOutput, left-prompt)
	if plan.MaxOutput < 1 {
		return d, plan, fault.New(fault.BudgetExhausted, stepBudget, d.VM,
			"prompt needs up to %d tokens, but only %d of the budget of %d remain", prompt, max(0, left), d.Tree.Budget)
	}
	plan.ReservedTokens = prompt + plan.MaxOutput
	d.Reserved += plan.ReservedTokens
	d = d.withRunning(p.ID, c.ID)
	if use := d.Spent + d.Reserved; use > d.Tree.Granted {
		plan.GrantTotal = min(d.Tree.Budget, use+l.GrantChunk)
	}
	return d, plan, nil
}

// maxTokens returns an upper bound on the tokens of the messages: no tokenizer produces more tokens than bytes.
func maxTokens(ms []Message) int64 {
	var n int64
	for _, m := range ms {
		n += int64(len(m.Role)+len(m.Content)+len(m.ToolCalls)+len(m.Name)+len(m.ToolCallID)) + templateTokens
	}
	return n
}

// ReserveRetry reserves need tokens once more to retry a call whose earlier run may have used its whole reservation. It
// reports false if the granted tokens do not cover the retry; the call then ends with the output that it has.
func (d LiveTree) ReserveRetry(need int64) (LiveTree, bool) {
	if d.Spent+d.Reserved+need > d.Tree.Granted {
		return d, false
	}
	d.Reserved += need
	return d, true
}

// FinishCall releases the program and the need tokens reserved for its call. Cost is the number of tokens used: the plan's
// Need if that is not known, zero if the call did not run.
func (d LiveTree) FinishCall(program string, need, cost int64) LiveTree {
	d.Reserved -= need
	d.Spent += cost
	return d.withRunning(program, "")
}

// ServiceCall is a request for a non-idempotent call to a plain service.
type ServiceCall struct {
	ID, Program, Workspace, Service, Key, Digest string
}

// ServicePlan describes how to run a service call.
type ServicePlan struct {
	// Replay is the stored call with its response. If it is set, nothing is run.
	Replay *Call
	// Intent must be in the log before the call is sent.
	Intent Intent
}

// BeginServiceCall reserves the program for a non-idempotent call. A call whose earlier attempt was not run gets a new
// attempt.
func (d LiveTree) BeginServiceCall(c ServiceCall) (LiveTree, ServicePlan, *fault.Fault) {
	p, f := d.lookup(c.Program, c.Workspace)
	if f != nil {
		return d, ServicePlan{}, f
	}
	old, seen := p.Call(c.Key)
	if seen && old.State != StateNotRun {
		plan, f := d.repeatedServiceCall(p, old, c)
		return d, plan, f
	}
	if p.Ended {
		return d, ServicePlan{}, fault.New(fault.ProgramEnded, stepOrder, d.VM, "program %q has ended", p.ID)
	}
	if f := d.checkIdle(p.ID); f != nil {
		return d, ServicePlan{}, f
	}
	in := Intent{Program: p.ID, Key: c.Key, Attempt: old.Attempt + 1, Service: c.Service, Digest: c.Digest}
	return d.withRunning(p.ID, c.ID), ServicePlan{Intent: in}, nil
}

func (d LiveTree) repeatedServiceCall(p Program, old Call, c ServiceCall) (ServicePlan, *fault.Fault) {
	switch {
	case old.Digest != c.Digest:
		return ServicePlan{}, d.keyReused(c.Key)
	case old.State == StateDone:
		return ServicePlan{Replay: &old}, nil
	case d.Running[p.ID] != "":
		return ServicePlan{}, d.checkIdle(p.ID)
	}
	return ServicePlan{}, fault.New(fault.OutcomeUnknown, stepOnce, d.VM,
		"the call with idempotency key %q may have run and is not sent again", c.Key).WithOutcome(fault.Unknown)
}

func (d LiveTree) keyReused(key string) *fault.Fault {
	return fault.New(fault.KeyReused, stepOnce, d.VM, "idempotency key %q was used with another request", key)
}

// BeginIdempotentCall reserves the program for an idempotent call, which is not recorded.
func (d LiveTree) BeginIdempotentCall(id, program, workspace string) (LiveTree, *fault.Fault) {
	p, f := d.lookup(program, workspace)
	if f != nil {
		return d, f
	}
	if p.Ended {
		return d, fault.New(fault.ProgramEnded, stepOrder, d.VM, "program %q has ended", p.ID)
	}
	if f := d.checkIdle(p.ID); f != nil {
		return d, f
	}
	return d.withRunning(p.ID, id), nil
}

// OpenChild returns the record that opens a sub-agent.
func (d LiveTree) OpenChild(parent, workspace, id, model string) (Record, *fault.Fault) {
	p, f := d.lookup(parent, workspace)
	if f != nil {
		return Record{}, f
	}
	if p.Ended {
		return Record{}, fault.New(fault.ProgramEnded, stepOrder, d.VM, "parent program %q has ended", p.ID)
	}
	o := &Open{Program: id, Parent: p.ID, Workspace: workspace, Model: model}
	return Record{Root: d.Tree.Root, Epoch: d.Tree.Epoch, Open: o}, nil
}

// Program returns the program if it exists and belongs to the workspace.
func (d LiveTree) Program(id, workspace string) (Program, *fault.Fault) {
	return d.lookup(id, workspace)
}

// lookup returns the same fault for a missing program as for one of another workspace, so that a caller can't find out
// which programs other workspaces have.
func (d LiveTree) lookup(id, workspace string) (Program, *fault.Fault) {
	p, ok := d.Tree.Programs[id]
	if !ok || p.Workspace != workspace {
		return Program{}, fault.New(fault.UnknownProgram, stepOrder, d.VM, "program %q does not exist", id)
	}
	return p, nil
}

func (d LiveTree) checkIdle(program string) *fault.Fault {
	if call := d.Running[program]; call != "" {
		return fault.New(fault.CallInProgress, stepOrder, d.VM,
			"program %q is already running call %q; it runs one call at a time", program, call).WithRetryAfter(busyRetryAfter)
	}
	return nil
}

func (d LiveTree) withRunning(program, call string) LiveTree {
	m := make(map[string]string, len(d.Running)+1)
	maps.Copy(m, d.Running)
	m[program] = call
	if call == "" {
		delete(m, program)
	}
	d.Running = m
	return d
}
