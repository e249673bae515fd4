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

// LiveTree is a tree at its holder: the recorded state plus the calls in flight, which have no record yet. It is
// immutable.
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

// NewLiveTree returns a LiveTree for a tree that this instance has just opened.
func NewLiveTree(t Tree, vm string) LiveTree { return LiveTree{Tree: t, VM: vm} }

// NewLiveTreeAfterTakeover returns a LiveTree for a tree taken over from another holder. All granted tokens count as
// spent, because the previous holder may have spent them without recording it.
func NewLiveTreeAfterTakeover(t Tree, vm string) LiveTree {
	return LiveTree{Tree: t, VM: vm, Spent: t.Granted}
}

// WithRecord returns a copy with the record applied to its tree.
func (lt LiveTree) WithRecord(r Record) LiveTree {
	lt.Tree = lt.Tree.Apply(r)
	return lt
}

// ModelCall is a request for the next turn of a program.
type ModelCall struct {
	ID, Program, Workspace string
	// Key is the idempotency key, if any.
	Key    string
	Digest string
	// Turn is the turn number that the caller expects; zero means the next.
	Turn int
	// Messages are the new messages, preceded by the whole history if FullHistory is set.
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
	// Prompt is the history followed by NewMessages.
	Prompt []Message
	// MaxOutput is the limit on the response in tokens.
	MaxOutput int64
	// ReservedTokens is the number of tokens reserved for the call.
	ReservedTokens int64
	// GrantTotal is the new total of granted tokens, which must be in the log before the call is sent. It is zero if
	// the current grant suffices.
	GrantTotal int64
}

// BeginModelCall reserves the program's next turn and the tokens for the call.
func (lt LiveTree) BeginModelCall(c ModelCall, l Limits) (LiveTree, ModelPlan, *fault.Fault) {
	p, f := lt.lookup(c.Program, c.Workspace)
	if f != nil {
		return lt, ModelPlan{}, f
	}
	if plan, f, found := lt.repeatedModelCall(p, c); found {
		return lt, plan, f
	}
	if f := lt.checkNextTurn(p, c, l); f != nil {
		return lt, ModelPlan{}, f
	}
	plan := ModelPlan{Turn: p.Turns + 1, NewMessages: c.Messages}
	if c.FullHistory {
		ms, ok := p.AddedMessages(c.Messages)
		if !ok {
			return lt, plan, fault.New(fault.HistoryMismatch, stepOrder, lt.VM,
				"messages must begin with the %d messages of program %q and add at least one", len(p.History), p.ID)
		}
		plan.NewMessages = ms
	}
	plan.Prompt = append(p.History[:len(p.History):len(p.History)], plan.NewMessages...)
	return lt.reserve(p, c, plan, l)
}

// repeatedModelCall returns the plan or fault for a call whose idempotency key was used before. It reports false if the
// key is new.
func (lt LiveTree) repeatedModelCall(p Program, c ModelCall) (ModelPlan, *fault.Fault, bool) {
	if c.Key == "" {
		return ModelPlan{}, nil, false
	}
	old, ok := p.Call(c.Key)
	if !ok {
		return ModelPlan{}, nil, false
	}
	if old.Digest != c.Digest {
		return ModelPlan{}, lt.keyReused(c.Key), true
	}
	if len(old.Response) == 0 {
		return ModelPlan{}, fault.New(fault.TurnPassed, stepOrder, lt.VM,
			"the call was turn %d; its response is no longer stored and remains only in the history", old.Turn).
			WithOutcome(fault.Ran), true
	}
	return ModelPlan{Replay: old.Response, Turn: old.Turn}, nil, true
}

func (lt LiveTree) checkNextTurn(p Program, c ModelCall, l Limits) *fault.Fault {
	if p.Ended {
		return fault.New(fault.ProgramEnded, stepOrder, lt.VM, "program %q has ended", p.ID)
	}
	if f := lt.checkIdle(p.ID); f != nil {
		return f
	}
	if c.Turn != 0 && c.Turn <= p.Turns {
		return fault.New(fault.TurnPassed, stepOrder, lt.VM,
			"turn %d is already complete; the next turn is %d", c.Turn, p.Turns+1)
	}
	if c.Turn > p.Turns+1 {
		return fault.New(fault.TurnAhead, stepOrder, lt.VM, "turn %d cannot run before turn %d", c.Turn, p.Turns+1)
	}
	if p.Turns >= l.MaxTurns {
		return fault.New(fault.TurnLimit, stepOrder, lt.VM, "program %q has made all of its %d turns", p.ID, l.MaxTurns)
	}
	return nil
}

// reserve reserves the maximum number of tokens that the call can use. The output limit is reduced to what remains of
// the budget.
func (lt LiveTree) reserve(p Program, c ModelCall, plan ModelPlan, l Limits) (LiveTree, ModelPlan, *fault.Fault) {
	plan.MaxOutput = l.MaxOutput
	if c.MaxOutput > 0 {
		plan.MaxOutput = min(c.MaxOutput, l.MaxOutput)
	}
	prompt := p.ContextTokens + maxTokens(plan.NewMessages)
	left := lt.Tree.Budget - lt.Spent - lt.Reserved
	plan.MaxOutput = min(plan.MaxOutput, left-prompt)
	if plan.MaxOutput < 1 {
		return lt, plan, fault.New(fault.BudgetExhausted, stepBudget, lt.VM,
			"prompt needs up to %d tokens, but only %d of the budget of %d remain", prompt, max(0, left), lt.Tree.Budget)
	}
	plan.ReservedTokens = prompt + plan.MaxOutput
	lt.Reserved += plan.ReservedTokens
	lt = lt.withRunning(p.ID, c.ID)
	if use := lt.Spent + lt.Reserved; use > lt.Tree.Granted {
		plan.GrantTotal = min(lt.Tree.Budget, use+l.GrantChunk)
	}
	return lt, plan, nil
}

// maxTokens returns an upper bound on the tokens of the messages: no tokenizer produces more tokens than bytes.
func maxTokens(ms []Message) int64 {
	var n int64
	for _, m := range ms {
		n += int64(len(m.Role)+len(m.Content)+len(m.ToolCalls)+len(m.Name)+len(m.ToolCallID)) + templateTokens
	}
	return n
}

// ReserveRetry reserves the tokens once more to retry a call whose earlier run may have used its whole reservation. It
// reports false if the granted tokens do not cover the retry; the call then ends with the output that it has.
func (lt LiveTree) ReserveRetry(reserved int64) (LiveTree, bool) {
	if lt.Spent+lt.Reserved+reserved > lt.Tree.Granted {
		return lt, false
	}
	lt.Reserved += reserved
	return lt, true
}

// FinishCall releases the program and the tokens reserved for its call. Used is the number of tokens used: the plan's
// ReservedTokens if that is not known, zero if the call did not run.
func (lt LiveTree) FinishCall(program string, reserved, used int64) LiveTree {
	lt.Reserved -= reserved
	lt.Spent += used
	return lt.withRunning(program, "")
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
func (lt LiveTree) BeginServiceCall(c ServiceCall) (LiveTree, ServicePlan, *fault.Fault) {
	p, f := lt.lookup(c.Program, c.Workspace)
	if f != nil {
		return lt, ServicePlan{}, f
	}
	old, seen := p.Call(c.Key)
	if seen && old.State != StateNotRun {
		plan, f := lt.repeatedServiceCall(p, old, c)
		return lt, plan, f
	}
	if p.Ended {
		return lt, ServicePlan{}, fault.New(fault.ProgramEnded, stepOrder, lt.VM, "program %q has ended", p.ID)
	}
	if f := lt.checkIdle(p.ID); f != nil {
		return lt, ServicePlan{}, f
	}
	in := Intent{Program: p.ID, Key: c.Key, Attempt: old.Attempt + 1, Service: c.Service, Digest: c.Digest}
	return lt.withRunning(p.ID, c.ID), ServicePlan{Intent: in}, nil
}

func (lt LiveTree) repeatedServiceCall(p Program, old Call, c ServiceCall) (ServicePlan, *fault.Fault) {
	switch {
	case old.Digest != c.Digest:
		return ServicePlan{}, lt.keyReused(c.Key)
	case old.State == StateDone:
		return ServicePlan{Replay: &old}, nil
	case lt.Running[p.ID] != "":
		return ServicePlan{}, lt.checkIdle(p.ID)
	}
	return ServicePlan{}, fault.New(fault.OutcomeUnknown, stepOnce, lt.VM,
		"the call with idempotency key %q may have run and is not sent again", c.Key).WithOutcome(fault.Unknown)
}

func (lt LiveTree) keyReused(key string) *fault.Fault {
	return fault.New(fault.IdempotencyKeyReused, stepOnce, lt.VM,
		"idempotency key %q was used with another request", key)
}

// BeginIdempotentCall reserves the program for an idempotent call, which is not recorded.
func (lt LiveTree) BeginIdempotentCall(id, program, workspace string) (LiveTree, *fault.Fault) {
	p, f := lt.lookup(program, workspace)
	if f != nil {
		return lt, f
	}
	if p.Ended {
		return lt, fault.New(fault.ProgramEnded, stepOrder, lt.VM, "program %q has ended", p.ID)
	}
	if f := lt.checkIdle(p.ID); f != nil {
		return lt, f
	}
	return lt.withRunning(p.ID, id), nil
}

// OpenChild returns the record that opens a sub-agent.
func (lt LiveTree) OpenChild(parent, workspace, id, model string) (Record, *fault.Fault) {
	p, f := lt.lookup(parent, workspace)
	if f != nil {
		return Record{}, f
	}
	if p.Ended {
		return Record{}, fault.New(fault.ProgramEnded, stepOrder, lt.VM, "parent program %q has ended", p.ID)
	}
	o := &Open{Program: id, Parent: p.ID, Workspace: workspace, Model: model}
	return Record{Root: lt.Tree.Root, Epoch: lt.Tree.Epoch, Open: o}, nil
}

// Program returns the program if it exists and belongs to the workspace.
func (lt LiveTree) Program(id, workspace string) (Program, *fault.Fault) {
	return lt.lookup(id, workspace)
}

// lookup returns the same fault for a missing program as for one of another workspace, so that a caller can't find out
// which programs other workspaces have.
func (lt LiveTree) lookup(id, workspace string) (Program, *fault.Fault) {
	p, ok := lt.Tree.Programs[id]
	if !ok || p.Workspace != workspace {
		return Program{}, fault.New(fault.UnknownProgram, stepOrder, lt.VM, "program %q does not exist", id)
	}
	return p, nil
}

func (lt LiveTree) checkIdle(program string) *fault.Fault {
	if call := lt.Running[program]; call != "" {
		return fault.New(fault.CallInProgress, stepOrder, lt.VM,
			"program %q is already running call %q; it runs one call at a time", program, call).WithRetryAfter(busyRetryAfter)
	}
	return nil
}

func (lt LiveTree) withRunning(program, call string) LiveTree {
	m := make(map[string]string, len(lt.Running)+1)
	maps.Copy(m, lt.Running)
	m[program] = call
	if call == "" {
		delete(m, program)
	}
	lt.Running = m
	return lt
}
