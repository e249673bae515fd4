package home

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
)

// uncommitted holds the records of each tree that are not in the log yet, in the order of their submission.
type uncommitted struct {
	mu     sync.Mutex
	byRoot map[string][]*pendingRecord
}

// pendingRecord is a record that was submitted to the log.
type pendingRecord struct {
	rec    prog.Record
	commit *plog.Pending
	// held is set when the record is sent to a standby.
	held bool
}

func newUncommitted() *uncommitted { return &uncommitted{byRoot: make(map[string][]*pendingRecord)} }

func (u *uncommitted) add(e *pendingRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byRoot[e.rec.Root] = append(u.byRoot[e.rec.Root], e)
}

// remove removes the record and reports whether it was sent to a standby.
func (u *uncommitted) remove(e *pendingRecord) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	rest := slices.DeleteFunc(u.byRoot[e.rec.Root], func(o *pendingRecord) bool { return o == e })
	u.byRoot[e.rec.Root] = rest
	if len(rest) == 0 {
		delete(u.byRoot, e.rec.Root)
	}
	return e.held
}

// markHeld marks the records of the tree as held by a standby and returns them.
func (u *uncommitted) markHeld(root string) []prog.Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []prog.Record
	for _, e := range u.byRoot[root] {
		e.held = true
		out = append(out, e.rec)
	}
	return out
}

// commitOrHold returns once the record is in the log and was applied. While the log is unavailable, it is enough that
// a standby holds the record: the record is then applied here at once and reaches the log later. The fault has code
// BodyTooLarge if the log can never accept the record.
func (h *Home) commitOrHold(ctx context.Context, standby string, rec prog.Record) *fault.Fault {
	e := h.submit(rec)
	f := h.awaitCommit(ctx, e)
	if f == nil {
		return h.checkEffective(ctx, rec)
	}
	if f.Code == fault.BodyTooLarge {
		return f
	}
	if f := h.holdAtStandby(ctx, standby, rec); f != nil {
		return f
	}
	h.opts.Metrics.Add("records_held_by_standby", 1)
	h.applied(rec)
	return h.checkEffective(ctx, rec)
}

// commit returns once the record is in the log and was applied. Unlike commitOrHold, it does not fall back to a
// standby.
func (h *Home) commit(ctx context.Context, rec prog.Record) *fault.Fault {
	e := h.submit(rec)
	if f := h.awaitCommit(ctx, e); f != nil {
		return f
	}
	return h.checkEffective(ctx, rec)
}

// submit sends the record to the committer and tracks it until it is committed.
func (h *Home) submit(rec prog.Record) *pendingRecord {
	e := &pendingRecord{rec: rec, commit: h.committer.Submit(rec)}
	h.uncommitted.add(e)
	h.opts.Group.Go(func(ctx context.Context) error {
		err := e.commit.Wait(ctx)
		if ctx.Err() != nil {
			return nil
		}
		held := h.uncommitted.remove(e)
		if err != nil {
			telem.Warn(h.opts.Logger, "record_rejected", "program", rec.Root, "cause", err)
			return nil
		}
		if held {
			h.opts.Metrics.Add("records_logged_after_hold", 1)
		}
		return nil
	})
	return e
}

// awaitCommit waits until the record is committed, for at most Options.LogTimeout. While appends are failing, it waits
// only for a quarter of that.
func (h *Home) awaitCommit(ctx context.Context, e *pendingRecord) *fault.Fault {
	timeout := h.opts.LogTimeout
	if h.committer.Failing() {
		timeout /= 4
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := e.commit.Wait(ctx)
	if errors.Is(err, plog.ErrRejected) {
		return fault.New(fault.BodyTooLarge, stepRecord, h.opts.VM, "the log cannot hold the record: %v", err)
	}
	if err != nil {
		return h.logFault(err)
	}
	return nil
}

// checkEffective returns a fault if a record that is in the log, or held by the standby, has no effect because another
// instance claimed the tree before it.
func (h *Home) checkEffective(ctx context.Context, rec prog.Record) *fault.Fault {
	lt, held := h.liveTree(ctx, rec.Root)
	if held && lt.Tree.Epoch == rec.Epoch {
		return nil
	}
	if rec.End != nil {
		return nil
	}
	return fault.New(fault.ProgramMoved, stepRecord, h.opts.VM, "program %q moved to another home", rec.Root)
}

// holdAtStandby sends the standby every record of the tree that is not in the log yet.
func (h *Home) holdAtStandby(ctx context.Context, standby string, rec prog.Record) *fault.Fault {
	if standby == "" {
		return fault.New(fault.LogUnavailable, stepRecord, h.opts.VM,
			"the log is unavailable and no other sidecar can hold the record").WithRetryAfter(logRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if err := h.opts.Standbys.Hold(ctx, standby, rec.Root, rec.Epoch, h.uncommitted.markHeld(rec.Root)); err != nil {
		telem.Warn(h.opts.Logger, "standby_refused", "standby", standby, "program", rec.Root, "err", err)
		return fault.FromError(err, stepRecord, standby)
	}
	return nil
}
