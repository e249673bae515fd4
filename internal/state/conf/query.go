package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultOrigin is the origin of a value that is set on no branch and comes from the setting's default.
const DefaultOrigin = "default"

// Effective is a setting with its effective value at a branch and the branch that the value comes from.
type Effective struct {
	Spec
	Value float64
	// From is the path of the branch that sets the value, or DefaultOrigin.
	From string
}

// Effective returns the effective value of the setting at the branch: the value set on the nearest branch on the way up
// to the root, this one included, or else the default.
func (s *State) Effective(path, name string) (Effective, error) {
	spec, ok := SpecOf(name)
	if !ok {
		return Effective{}, errors.Newf("setting %q does not exist", name)
	}
	for p, ok := path, true; ok; p, ok = parent(p) {
		if v, set := s.Branches[p].Values[name]; set {
			return Effective{Spec: spec, Value: v, From: p}, nil
		}
	}
	return Effective{Spec: spec, Value: spec.Default, From: DefaultOrigin}, nil
}

// Value returns the effective value of a setting. It panics if the setting does not exist.
func (s *State) Value(path, name string) float64 {
	e, err := s.Effective(path, name)
	if err != nil {
		panic(err)
	}
	return e.Value
}

// Millis returns the effective value of a setting in milliseconds as a duration.
func (s *State) Millis(path, name string) time.Duration {
	return time.Duration(s.Value(path, name)) * time.Millisecond
}

// All returns the effective values of all settings at the branch, sorted by name.
func (s *State) All(path string) []Effective {
	out := make([]Effective, 0, len(specs))
	for _, spec := range specs {
		e, _ := s.Effective(path, spec.Name)
		out = append(out, e)
	}
	return out
}

// BranchOf returns the branch of the workspace. For an unknown workspace it returns the root and false.
func (s *State) BranchOf(workspace string) (string, bool) {
	w, ok := s.Workspaces[workspace]
	if !ok {
		return Root, false
	}
	return w.Branch, true
}

// Digest returns the hex SHA-256 of a key's secret. Only the digest is stored.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// KeyOf returns the key with the secret, even if it is withdrawn.
func (s *State) KeyOf(secret string) (Key, bool) {
	id, ok := s.Digests[Digest(secret)]
	if !ok {
		return Key{}, false
	}
	k, ok := s.Keys[id]
	return k, ok
}

// KeyActive reports whether the key exists, belongs to the workspace and is not withdrawn.
func (s *State) KeyActive(id, workspace string) bool {
	k, ok := s.Keys[id]
	return ok && !k.Withdrawn && k.Workspace == workspace
}

// ChangesBelow returns the accepted changes of the branch and its descendants, oldest first.
func (s *State) ChangesBelow(branch string) []Change {
	var out []Change
	for _, c := range s.Changes {
		if Below(c.Branch, branch) {
			out = append(out, c)
		}
	}
	return out
}

// Undo returns a change that restores the values that the accepted change with this version replaced.
func (s *State) Undo(version, base int64, author string) (Change, error) {
	i := slices.IndexFunc(s.Changes, func(c Change) bool { return c.Version == version })
	if i < 0 {
		return Change{}, errors.Newf("change %d is not among the last %d accepted changes", version, maxChanges)
	}
	c := s.Changes[i]
	return Change{Branch: c.Branch, Base: base, Values: c.Before, Author: author}, nil
}

// Accepted returns nil if the record with this ID is among the last accepted ones, and ErrStale otherwise. It gives the
// result for a record that was applied by a peer and received as part of the peer's state.
func (s *State) Accepted(id string) error {
	if slices.Contains(s.RecentIDs, id) {
		return nil
	}
	return errors.Wrapf(ErrStale, "record %q was refused", id)
}
