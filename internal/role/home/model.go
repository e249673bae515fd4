package home

import (
	"context"
	"encoding/json"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/loop"
	"galenaward.example/galenaward/internal/role/tries"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/peer"
)

// serveModel runs the next turn of the program.
func (c *call) serveModel() *fault.Fault {
	r, f := c.beginModel()
	if f != nil {
		return f
	}
	if r.plan.Replay != nil {
		return c.replayModel(r.plan.Replay, c.req.Model.Prefix)
	}
	if f := c.raiseGrant(r); f != nil {
		c.finish(r.plan.ReservedTokens, 0)
		return f
	}
	acc := chat.Accumulator{Content: c.req.Model.Prefix}
	wasted, f := c.runModel(r, &acc)
	if f != nil {
		c.finish(wasted+r.plan.ReservedTokens, wasted+costOfFailure(f, r.plan.ReservedTokens))
		return f
	}
	used := costOfAnswer(&acc, r.plan.ReservedTokens)
	turn, f := c.turnRecord(r, &acc, used)
	if f != nil {
		c.finish(wasted+r.plan.ReservedTokens, wasted+used)
		return f.WithOutcome(fault.Ran)
	}
	f = c.home.commitOrHold(context.WithoutCancel(c.ctx), c.req.Standby, turn)
	if f != nil && f.Code == fault.BodyTooLarge {
		c.finish(wasted+r.plan.ReservedTokens, wasted+used)
		return f.WithOutcome(fault.Ran)
	}
	// The record was submitted and may still reach the log, so the next turn has to build on it even after a fault.
	c.finish(wasted+r.plan.ReservedTokens, wasted+used, turn)
	if f != nil {
		return f.WithOutcome(fault.Ran)
	}
	c.buf.Done(turn.Turn.Response)
	return nil
}

// costOfFailure returns the tokens charged for a failed call: all that were reserved, unless the call did not run.
func costOfFailure(f *fault.Fault, need int64) int64 {
	if f.Outcome == fault.NotRun {
		return 0
	}
	return need
}

// costOfAnswer returns the tokens charged for an answer: all that were reserved, unless the engine reported its usage.
func costOfAnswer(acc *chat.Accumulator, need int64) int64 {
	if acc.Usage == nil {
		return need
	}
	return acc.Usage.TotalTokens
}

func (c *call) beginModel() (modelReply, *fault.Fault) {
	st := c.home.opts.Store.State()
	m := c.req.Model
	raw, err := json.Marshal(m.Messages)
	if err != nil {
		return modelReply{}, fault.FromError(err, stepHome, c.home.opts.VM)
	}
	mc := prog.ModelCall{
		ID: c.req.ID, Program: c.req.Program, Workspace: c.req.Workspace, Key: c.req.IdempotencyKey,
		Digest: prog.RequestDigest(raw), Turn: c.req.Turn, Messages: m.Messages, FullHistory: c.req.FullHistory,
		MaxOutput: m.MaxTokens,
	}
	limits := prog.Limits{
		MaxTurns:   int(st.Value(c.branch, conf.MaxTurns)),
		MaxOutput:  int64(st.Value(c.branch, conf.MaxOutputTokens)),
		GrantChunk: c.home.opts.BudgetChunk,
	}
	r, err := loop.Ask(c.ctx, c.home.loop, func(reply chan<- modelReply) msg {
		return modelMsg{c.root, mc, limits, c.cancel, reply}
	})
	if err != nil {
		return r, fault.FromError(err, stepHome, c.home.opts.VM).WithOutcome(fault.NotRun)
	}
	return r, r.fault
}

// raiseGrant commits a grant of a further part of the budget before that part is used.
func (c *call) raiseGrant(r modelReply) *fault.Fault {
	if r.plan.GrantTotal == 0 {
		return nil
	}
	rec := prog.Record{Root: c.root, Epoch: r.live.Tree.Epoch, Grant: &prog.Grant{Granted: r.plan.GrantTotal}}
	return c.home.commit(c.ctx, rec)
}

// runModel sends the call to its candidates. wasted is the number of tokens that interrupted runs may have used.
func (c *call) runModel(r modelReply, acc *chat.Accumulator) (wasted int64, f *fault.Fault) {
	req := c.newRunRequest(c.req.ID)
	req.TokensUsed = r.live.Tree.Programs[c.req.Program].TokensUsed
	req.Model = &peer.ModelCall{
		Name: c.req.Model.Name, Messages: r.plan.Prompt, MaxTokens: r.plan.MaxOutput, Params: c.req.Model.Params,
	}
	mayRetry := func() bool {
		ok, err := loop.Ask(c.ctx, c.home.loop, func(reply chan<- bool) msg {
			return reserveRetryMsg{c.root, r.plan.ReservedTokens, reply}
		})
		if err != nil || !ok {
			return false
		}
		wasted += r.plan.ReservedTokens
		return true
	}
	f = c.home.opts.Dispatcher.Model(c.ctx, c.req.Candidates, req,
		tries.ModelOutput{Accumulator: acc, Emit: c.buf.Chunk, MayRetry: mayRetry})
	return wasted, f
}

func (c *call) turnRecord(r modelReply, acc *chat.Accumulator, used int64) (prog.Record, *fault.Fault) {
	whole, err := json.Marshal(acc.Completion())
	if err != nil {
		return prog.Record{}, fault.FromError(err, stepRecord, c.home.opts.VM)
	}
	raw, err := json.Marshal(c.req.Model.Messages)
	if err != nil {
		return prog.Record{}, fault.FromError(err, stepRecord, c.home.opts.VM)
	}
	t := &prog.Turn{
		Program: c.req.Program, Number: r.plan.Turn, TokensUsed: used, ContextTokens: used,
		Messages: append(r.plan.NewMessages[:len(r.plan.NewMessages):len(r.plan.NewMessages)], acc.Message()),
		Key:      c.req.IdempotencyKey, Digest: prog.RequestDigest(raw), Response: whole,
	}
	return prog.Record{Root: c.root, Epoch: r.live.Tree.Epoch, Turn: t}, nil
}

// replayModel sends the part of a stored answer that follows the prefix as one chunk, and ends the stream.
func (c *call) replayModel(raw json.RawMessage, prefix string) *fault.Fault {
	var whole chat.Completion
	if err := json.Unmarshal(raw, &whole); err != nil || len(whole.Choices) == 0 {
		return fault.New(fault.Internal, stepHome, c.home.opts.VM, "stored answer of call %q cannot be decoded", c.req.ID)
	}
	rest, ok := chat.NewChunk(whole).WithoutPrefix(prefix)
	if !ok {
		return fault.New(fault.OutcomeUnknown, stepHome, c.home.opts.VM,
			"the recorded answer differs from the part already sent").WithOutcome(fault.Ran)
	}
	chunk, err := json.Marshal(rest)
	if err != nil {
		return fault.FromError(err, stepHome, c.home.opts.VM)
	}
	c.buf.Chunk(chunk)
	c.buf.Done(raw)
	return nil
}
