package entry

import (
	"cmp"
	"context"
	"slices"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// CreateWorkspace creates a workspace with its branch of the settings tree.
func (h *handler) CreateWorkspace(ctx context.Context, r *oasgen.Workspace) (*oasgen.Workspace, error) {
	if err := conf.CheckBranch(r.Branch); err != nil {
		return nil, h.invalid(err)
	}
	if r.Name == openWorkspace {
		return nil, fault.New(fault.InvalidRequest, "settings", h.entry.vm, "name %q is reserved", r.Name)
	}
	if _, err := h.entry.propose(ctx, conf.Record{
		Workspace: &conf.Workspace{Name: r.Name, Branch: r.Branch},
	}); err != nil {
		return nil, err
	}
	return r, nil
}

// ListWorkspaces returns the workspaces, sorted by name.
func (h *handler) ListWorkspaces(context.Context) (*oasgen.ListWorkspacesOK, error) {
	out := &oasgen.ListWorkspacesOK{Workspaces: []oasgen.Workspace{}}
	for _, w := range h.entry.store.State().Workspaces {
		out.Workspaces = append(out.Workspaces, oasgen.Workspace{Name: w.Name, Branch: w.Branch})
	}
	slices.SortFunc(out.Workspaces, func(a, b oasgen.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// IssueKey issues a key for a workspace. Only a digest of the secret is stored.
func (h *handler) IssueKey(ctx context.Context, r *oasgen.KeyRequest) (*oasgen.IssuedKey, error) {
	if _, ok := h.entry.store.State().BranchOf(r.Workspace); !ok {
		return nil, fault.New(fault.UnknownWorkspace, "settings", h.entry.vm, "workspace %q does not exist", r.Workspace)
	}
	id, secret := newSecret()
	k := &conf.Key{ID: id, Workspace: r.Workspace, Digest: conf.SecretDigest(secret)}
	if _, err := h.entry.propose(ctx, conf.Record{Key: k}); err != nil {
		return nil, err
	}
	return &oasgen.IssuedKey{Key: id, Workspace: r.Workspace, Secret: secret}, nil
}

// ListKeys returns the keys, sorted by id.
func (h *handler) ListKeys(context.Context) (*oasgen.ListKeysOK, error) {
	out := &oasgen.ListKeysOK{Keys: []oasgen.Key{}}
	for _, k := range h.entry.store.State().Keys {
		out.Keys = append(out.Keys, keyOf(k))
	}
	slices.SortFunc(out.Keys, func(a, b oasgen.Key) int { return cmp.Compare(a.Key, b.Key) })
	return out, nil
}

// WithdrawKey withdraws a key. Every entry rejects it and ends its running calls once the entry reads the change.
func (h *handler) WithdrawKey(ctx context.Context, p oasgen.WithdrawKeyParams) (*oasgen.Key, error) {
	k, ok := h.entry.store.State().Keys[p.Key]
	if !ok {
		return nil, fault.New(fault.UnknownKey, "settings", h.entry.vm, "key %q does not exist", p.Key)
	}
	if _, err := h.entry.propose(ctx, conf.Record{Withdrawal: &conf.Withdrawal{Key: p.Key}}); err != nil {
		return nil, err
	}
	k.Withdrawn = true
	out := keyOf(k)
	return &out, nil
}

func keyOf(k conf.Key) oasgen.Key {
	out := oasgen.Key{Key: k.ID, Workspace: k.Workspace, State: oasgen.KeyStateActive}
	if k.Withdrawn {
		out.State = oasgen.KeyStateWithdrawn
	}
	return out
}
