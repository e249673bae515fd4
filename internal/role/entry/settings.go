package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

const proposeTimeout = 5 * time.Second

// propose appends the record to the log and returns the state after it, or the reason why it was rejected.
func (e *Entry) propose(ctx context.Context, r conf.Record) (*conf.State, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r.ID = uuid.NewString()
	return e.follower.Propose(ctx, r)
}

// ReadSettings returns the effective values of a branch.
func (h *handler) ReadSettings(_ context.Context, p oasgen.ReadSettingsParams) (*oasgen.Branch, error) {
	path := p.Branch.Or(conf.RootBranch)
	if err := conf.CheckBranch(path); err != nil {
		return nil, h.invalid(err)
	}
	st := h.entry.store.State()
	out := &oasgen.Branch{Branch: path, Version: st.Version}
	for _, v := range st.Settings(path) {
		out.Values = append(out.Values, oasgen.EffectiveValue{
			Name: v.Name, Value: v.Value, Unit: v.Unit, From: v.Origin,
		})
	}
	return out, nil
}

func (h *handler) invalid(err error) *fault.Fault {
	return fault.New(fault.InvalidRequest, "settings", h.entry.vm, "%s", err)
}

// ChangeSettings proposes a change and returns it once it was accepted.
func (h *handler) ChangeSettings(ctx context.Context, r *oasgen.ChangeRequest) (*oasgen.Change, error) {
	c := conf.Change{Branch: r.Branch, BaseVersion: r.BaseVersion}
	for _, v := range r.Values {
		n := conf.Value{Name: v.Name}
		if x, ok := v.Value.Get(); ok {
			n.Value = &x
		}
		c.Values = append(c.Values, n)
	}
	return h.change(ctx, c)
}

// UndoChange proposes a change that restores the values from before an earlier change.
func (h *handler) UndoChange(ctx context.Context, r *oasgen.UndoRequest) (*oasgen.Change, error) {
	c, err := h.entry.store.State().Undo(r.Version, r.BaseVersion, "")
	if err != nil {
		return nil, fault.New(fault.UnknownChange, "settings", h.entry.vm, "%s", err)
	}
	return h.change(ctx, c)
}

func (h *handler) change(ctx context.Context, c conf.Change) (*oasgen.Change, error) {
	if err := conf.CheckChange(c); err != nil {
		return nil, h.invalid(err)
	}
	c.Author = identityOf(ctx).Key
	c.TimeMS = time.Now().UnixMilli()
	st, err := h.entry.propose(ctx, conf.Record{Change: &c})
	if err != nil {
		return nil, err
	}
	for i := len(st.Changes) - 1; i >= 0; i-- {
		if o := st.Changes[i]; o.Branch == c.Branch && o.TimeMS == c.TimeMS {
			out := changeOf(o)
			return &out, nil
		}
	}
	return nil, fault.New(fault.Internal, "settings", h.entry.vm,
		"accepted change of branch %q is not in the history", c.Branch)
}

// ListChanges returns the accepted changes of a branch and of the branches below it.
func (h *handler) ListChanges(_ context.Context, p oasgen.ListChangesParams) (*oasgen.ChangeList, error) {
	path := p.Branch.Or(conf.RootBranch)
	if err := conf.CheckBranch(path); err != nil {
		return nil, h.invalid(err)
	}
	out := &oasgen.ChangeList{Changes: []oasgen.Change{}}
	for _, c := range h.entry.store.State().ChangesBelow(path) {
		out.Changes = append(out.Changes, changeOf(c))
	}
	return out, nil
}

func changeOf(c conf.Change) oasgen.Change {
	out := oasgen.Change{
		Version: c.Version, Branch: c.Branch, Author: c.Author, Time: time.UnixMilli(c.TimeMS).UTC(),
		Values: []oasgen.SettingValue{},
	}
	for _, v := range c.Values {
		n := oasgen.SettingValue{Name: v.Name}
		if v.Value != nil {
			n.Value = oasgen.NewOptFloat64(*v.Value)
		}
		out.Values = append(out.Values, n)
	}
	return out
}
