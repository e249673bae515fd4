// Package conf defines the configuration shared by all processes: the tree of settings, workspaces, API keys, orders to
// engines and the holders of rate slots. Its state is a fold over one stream of the platform's log, so processes that
// have read the stream up to the same position have the same state.
//
//	next, err := state.Apply(offset, record)
package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrStale means that a record is based on outdated state, such as a change to a branch that was changed, or whose
// ancestor was changed, after the base version.
var ErrStale = errors.New("settings changed since the version named")

// ErrDuplicate means that a record with the same ID or name has already been accepted.
var ErrDuplicate = errors.New("already exists")

// ErrInvalid means that a record is malformed or refers to something that does not exist.
var ErrInvalid = errors.New("invalid record")

const (
	maxChanges   = 1000
	maxRecentIDs = 1000
)

// Branch is one node of the settings tree.
type Branch struct {
	// Version is the state's version after the last change to the branch. It never decreases.
	Version int64              `json:"version"`
	Values  map[string]float64 `json:"values"`
}

// State is the state at one position of the settings stream. It is immutable: Apply returns a new value.
type State struct {
	// Version is one more than the offset of the last record read. It never decreases.
	Version    int64                `json:"version"`
	Branches   map[string]Branch    `json:"branches"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Keys       map[string]Key       `json:"keys"`
	// KeyIDsByDigest maps the digest of a secret to the ID of its key.
	KeyIDsByDigest map[string]string `json:"digests"`
	// Orders maps a VM to its orders, oldest first. Only the last order per action and subject is kept.
	Orders map[string][]Order `json:"orders"`
	Slots  map[int64]Slot     `json:"slots"`
	// Changes holds the last maxChanges accepted changes, oldest first.
	Changes []Change `json:"changes"`
	// RecentIDs holds the IDs of the last maxRecentIDs accepted records, oldest first.
	RecentIDs []string `json:"recent_ids"`
}

// Encode returns the state as JSON.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode parses the output of Encode.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, errors.Wrap(err, "decode settings snapshot")
	}
	return s, nil
}

// Apply returns the state with the record at this offset applied. If the record is refused, Apply returns the reason,
// and the new state differs only in its version. A record at an offset that was already read changes nothing. A
// snapshot advances only the version: Rebuild uses snapshots, when older records have been trimmed.
func (s *State) Apply(offset int64, r Record) (*State, error) {
	if offset < s.Version {
		return s, nil
	}
	n := *s
	n.Version = offset + 1
	if r.Snapshot != nil {
		return &n, nil
	}
	if slices.Contains(s.RecentIDs, r.ID) {
		return &n, errors.Wrapf(ErrDuplicate, "record %q", r.ID)
	}
	n.RecentIDs = appendBounded(s.RecentIDs, r.ID, maxRecentIDs)
	if err := n.applyRecord(r); err != nil {
		n.RecentIDs = s.RecentIDs
		return &n, err
	}
	return &n, nil
}

func (s *State) applyRecord(r Record) error {
	switch {
	case r.Change != nil:
		return s.applyChange(*r.Change)
	case r.Workspace != nil:
		return s.applyWorkspace(*r.Workspace)
	case r.Key != nil:
		return s.applyKey(*r.Key)
	case r.Withdrawal != nil:
		return s.applyWithdraw(*r.Withdrawal)
	case r.Order != nil:
		return s.applyOrder(*r.Order)
	case r.Slot != nil:
		return s.applySlot(*r.Slot)
	}
	return errors.Wrapf(ErrInvalid, "record %q has no body", r.ID)
}

func (s *State) applyChange(c Change) error {
	if err := CheckChange(c); err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	if last := s.lastChangeVersion(c.Branch); last > c.BaseVersion {
		return errors.Wrapf(ErrStale, "branch %q is at version %d, base_version is %d", c.Branch, last, c.BaseVersion)
	}
	if c.BaseVersion >= s.Version {
		return errors.Wrapf(ErrInvalid, "base_version %d is above the newest version %d", c.BaseVersion, s.Version-1)
	}
	old := s.Branches[c.Branch]
	b := Branch{Version: s.Version, Values: cloneMap(old.Values)}
	for _, v := range c.Values {
		c.PreviousValues = append(c.PreviousValues, ownValue(old, v.Name))
		if v.Value == nil {
			delete(b.Values, v.Name)
			continue
		}
		b.Values[v.Name] = *v.Value
	}
	s.Branches = withEntry(s.Branches, c.Branch, b)
	c.Version = s.Version
	s.Changes = appendBounded(s.Changes, c, maxChanges)
	return nil
}

// lastChangeVersion returns the version of the last change to the branch or one of its ancestors.
func (s *State) lastChangeVersion(path string) int64 {
	var last int64
	for p, ok := path, true; ok; p, ok = parent(p) {
		last = max(last, s.Branches[p].Version)
	}
	return last
}

func (s *State) applyWorkspace(w Workspace) error {
	if err := CheckBranch(w.Branch); err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	if _, ok := s.Workspaces[w.Name]; ok {
		return errors.Wrapf(ErrDuplicate, "workspace %q", w.Name)
	}
	s.Workspaces = withEntry(s.Workspaces, w.Name, w)
	return nil
}

func (s *State) applyKey(k Key) error {
	if _, ok := s.Workspaces[k.Workspace]; !ok {
		return errors.Wrapf(ErrInvalid, "workspace %q does not exist", k.Workspace)
	}
	if _, ok := s.Keys[k.ID]; ok {
		return errors.Wrapf(ErrDuplicate, "key %q", k.ID)
	}
	s.Keys = withEntry(s.Keys, k.ID, k)
	s.KeyIDsByDigest = withEntry(s.KeyIDsByDigest, k.Digest, k.ID)
	return nil
}

func (s *State) applyWithdraw(w Withdrawal) error {
	k, ok := s.Keys[w.Key]
	if !ok {
		return errors.Wrapf(ErrInvalid, "key %q does not exist", w.Key)
	}
	k.Withdrawn = true
	s.Keys = withEntry(s.Keys, k.ID, k)
	return nil
}

func (s *State) applyOrder(o Order) error {
	if o.VM == "" || o.Action == "" {
		return errors.Wrapf(ErrInvalid, "order must have a vm and an action, got %q and %q", o.VM, o.Action)
	}
	o.FencingToken = s.Version
	kept := slices.DeleteFunc(slices.Clone(s.Orders[o.VM]), func(p Order) bool {
		return p.Action == o.Action && p.Subject == o.Subject
	})
	s.Orders = withEntry(s.Orders, o.VM, append(kept, o))
	return nil
}

func (s *State) applySlot(l Slot) error {
	old := s.Slots[l.Number]
	if old.Holder != l.Previous {
		return errors.Wrapf(ErrStale, "slot %d is held by %q, not by %q", l.Number, old.Holder, l.Previous)
	}
	if old.Holder != l.Holder && old.Renewals != l.SeenRenewals {
		return errors.Wrapf(ErrStale,
			"slot %d was renewed %d times, but the claim is based on renewal %d", l.Number, old.Renewals, l.SeenRenewals)
	}
	l.Renewals = old.Renewals + 1
	s.Slots = withEntry(s.Slots, l.Number, l)
	return nil
}

// CheckChange returns an error if the change can't be accepted in any state. The error names the field and its value.
func CheckChange(c Change) error {
	if err := CheckBranch(c.Branch); err != nil {
		return err
	}
	if len(c.Values) == 0 {
		return errors.New("values must name at least one setting")
	}
	seen := make(map[string]bool)
	for _, v := range c.Values {
		spec, ok := LookupSpec(v.Name)
		if !ok {
			return fmt.Errorf("setting %q does not exist", v.Name)
		}
		if seen[v.Name] {
			return fmt.Errorf("setting %q appears more than once", v.Name)
		}
		seen[v.Name] = true
		if v.Value == nil {
			continue
		}
		if err := spec.Check(*v.Value); err != nil {
			return err
		}
	}
	return nil
}

func ownValue(b Branch, name string) Value {
	if v, ok := b.Values[name]; ok {
		return Value{Name: name, Value: &v}
	}
	return Value{Name: name}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func withEntry[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	n := cloneMap(m)
	n[k] = v
	return n
}

func appendBounded[T any](old []T, v T, limit int) []T {
	if len(old) >= limit {
		old = old[len(old)-limit+1:]
	}
	return append(slices.Clone(old), v)
}
