package home

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/chain"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/peer"
)

// ensure returns the program's tree, taking it over if its holder is the suspect.
func (h *Home) ensure(ctx context.Context, program string, at peer.Location) (prog.LiveTree, *fault.Fault) {
	root, _, err := prog.ParseID(program)
	if err != nil {
		return prog.LiveTree{}, fault.New(fault.UnknownProgram, stepHome, h.opts.VM, "%s", err)
	}
	if lt, held := h.liveTree(ctx, root); held {
		return lt, nil
	}
	_, err, _ = h.takeovers.Do(root, func() (any, error) {
		if f := h.takeOver(ctx, root, at); f != nil {
			return nil, f
		}
		return nil, nil
	})
	if err != nil {
		return prog.LiveTree{}, fault.FromError(err, stepTakeOver, h.opts.VM)
	}
	lt, held := h.liveTree(ctx, root)
	if !held {
		return lt, h.controller.notHeld(root)
	}
	return lt, nil
}

// takeOver claims the tree in the log if its holder is the suspect, or this instance by an earlier claim.
func (h *Home) takeOver(ctx context.Context, root string, at peer.Location) *fault.Fault {
	if f := h.flushHeld(ctx, root); f != nil {
		return f
	}
	if err := h.flushStandbys(ctx, root, at.EarlierStandbys); err != nil {
		return fault.FromError(err, stepTakeOver, h.opts.VM).WithOutcome(fault.NotRun).WithRetryAfter(logRetryAfter)
	}
	t, f := h.resolve(ctx, root)
	if f != nil {
		return f
	}
	if t.Ended() {
		return fault.New(fault.ProgramEnded, stepTakeOver, h.opts.VM, "program %q has ended", root)
	}
	if t.Holder != at.Suspect && t.Holder != h.opts.Instance {
		return fault.New(fault.ProgramMoved, stepTakeOver, h.opts.VM,
			"program %q is held by %q", root, t.Holder).WithHolder(t.Holder)
	}
	h.standbyBuffer.close(root, t.Epoch)
	if f := h.flushHeld(ctx, root); f != nil {
		h.standbyBuffer.reopen(root)
		return f
	}
	now, err := chain.Claim(ctx, h.opts.Log, t, h.opts.Instance)
	if err != nil {
		h.standbyBuffer.reopen(root)
		return h.logFault(err)
	}
	if now.Holder != h.opts.Instance {
		return fault.New(fault.ProgramMoved, stepTakeOver, h.opts.VM,
			"program %q was claimed by %q", root, now.Holder).WithHolder(now.Holder)
	}
	return h.startServing(ctx, now)
}

// flushStandbys makes every sidecar that may hold records of the tree append them to the log.
func (h *Home) flushStandbys(ctx context.Context, root string, standbys []string) error {
	var g errgroup.Group
	for _, s := range standbys {
		g.Go(func() error { return h.opts.Standbys.Flush(ctx, s, root) })
	}
	return g.Wait()
}

// startServing writes a checkpoint of the tree to this home's stream and installs the tree.
func (h *Home) startServing(ctx context.Context, t prog.Tree) *fault.Fault {
	rec := prog.Record{Root: t.Root, Epoch: t.Epoch, Checkpoint: &prog.Checkpoint{Tree: &t}}
	if err := h.committer.Submit(rec).Wait(ctx); err != nil {
		return h.logFault(err)
	}
	done := make(chan struct{})
	h.loop.Send(installMsg{prog.NewLiveTreeAfterTakeover(t, h.opts.VM), done})
	select {
	case <-done:
	case <-ctx.Done():
		return h.logFault(ctx.Err())
	}
	if err := h.appendMoved(ctx, t); err != nil {
		telem.Warn(h.opts.Logger, "takeover_pointer_failed", "program", t.Root, "err", err)
	}
	h.opts.Metrics.Add("programs_taken_over", 1)
	telem.Info(h.opts.Logger, "program_taken_over", "program", t.Root, "epoch", t.Epoch)
	return nil
}

// appendMoved records the tree's holder in the stream of its first home, where readers find it after the claims that
// lead to the holder have been trimmed.
func (h *Home) appendMoved(ctx context.Context, t prog.Tree) error {
	_, first, err := prog.ParseID(t.Root)
	if err != nil || first == h.opts.Instance {
		return err
	}
	rec := prog.Record{Root: t.Root, Epoch: t.Epoch, HolderPointer: &prog.HolderPointer{Holder: t.Holder}}
	return h.appendTo(ctx, first, []prog.Record{rec})
}

// flushHeld appends the records held for the tree's earlier holder to that holder's stream. That holder made them, so
// they have the same effect there as records that it appended itself. Records that are repeated change nothing.
func (h *Home) flushHeld(ctx context.Context, root string) *fault.Fault {
	held, ok := h.standbyBuffer.get(root)
	if !ok {
		return nil
	}
	holder, f := h.heldRecordsHolder(ctx, root, held)
	if f != nil {
		return f
	}
	if holder == "" {
		h.standbyBuffer.removeIfUnchanged(root, held)
		return nil
	}
	if err := h.appendTo(ctx, holder, held.records); err != nil {
		return h.logFault(err)
	}
	h.standbyBuffer.removeIfUnchanged(root, held)
	return nil
}

// FlushRecords appends the records held for the tree to the log.
func (h *Home) FlushRecords(ctx context.Context, root string) *fault.Fault {
	return h.flushHeld(ctx, root)
}

// runFlusher appends held records to the log as soon as the log is available, whether or not their home is alive.
func (h *Home) runFlusher(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(flushInterval):
		}
		for _, root := range h.standbyBuffer.roots() {
			if f := h.flushHeld(ctx, root); f != nil {
				break
			}
		}
	}
}

// heldRecordsHolder returns the instance that held the tree in the epoch of the held records. It is empty if that
// epoch has ended.
func (h *Home) heldRecordsHolder(ctx context.Context, root string, held heldRecords) (string, *fault.Fault) {
	for _, r := range held.records {
		if r.Open != nil && r.Open.Holder != "" {
			return r.Open.Holder, nil
		}
	}
	t, f := h.resolve(ctx, root)
	if f != nil {
		return "", f
	}
	if t.Epoch != held.epoch {
		return "", nil
	}
	return t.Holder, nil
}

func (h *Home) appendTo(ctx context.Context, instance string, records []prog.Record) error {
	data, err := json.Marshal(plog.Batch[prog.Record]{ID: uuid.NewString(), Records: records})
	if err != nil {
		return err
	}
	_, err = h.opts.Log.Append(ctx, prog.HolderStream(instance), data)
	return err
}

func (h *Home) resolve(ctx context.Context, root string) (prog.Tree, *fault.Fault) {
	t, err := chain.Resolve(ctx, h.opts.Log, root)
	if errors.Is(err, chain.ErrNotFound) {
		return t, fault.New(fault.UnknownProgram, stepTakeOver, h.opts.VM, "program %q does not exist", root)
	}
	if err != nil {
		return t, h.logFault(err)
	}
	return t, nil
}

func (h *Home) logFault(err error) *fault.Fault {
	return fault.New(fault.LogUnavailable, stepRecord, h.opts.VM,
		"the log did not answer: %v", err).WithRetryAfter(logRetryAfter)
}
