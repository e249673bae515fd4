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

// EffectiveSetting is a setting with its effective value at a branch and the branch that the value comes from.
type EffectiveSetting struct {
	Spec
	Value float64
	// Origin is the path of the branch that sets the value, or DefaultOrigin.
	Origin string
}

// Effective returns the effective value of the setting at the branch: the value set on the nearest branch on the way up
// to the root, this one included, or else the default.
func (s *State) Effective(path, name string) (EffectiveSetting, error) {
	spec, ok := LookupSpec(name)
	if !ok {
		return EffectiveSetting{}, errors.Newf("setting %q does not exist", name)
	}
	for p, ok := path, true; ok; p, ok = parent(p) {
		if v, set := s.Branches[p].Values[name]; set {
			return EffectiveSetting{Spec: spec, Value: v, Origin: p}, nil
		}
	}
	return EffectiveSetting{Spec: spec, Value: spec.Default, Origin: DefaultOrigin}, nil
}

// Value returns the effective value of a setting. It panics if the setting does not exist.
func (s *State) Value(path, name string) float64 {
	e, err := s.Effective(path, name)
	if err != nil {
		panic(err)
	}
	return e.Value
}

// Duration returns the effective value of a setting in milliseconds as a duration.
func (s *State) Duration(path, name string) time.Duration {
	return time.Duration(s.Value(path, name)) * time.Millisecond
}

// Settings returns the effective values of all settings at the branch, sorted by name.
func (s *State) Settings(path string) []EffectiveSetting {
	out := make([]EffectiveSetting, 0, len(specs))
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
		return RootBranch, false
	}
	return w.Branch, true
}

// SecretDigest returns the hex SHA-256 of a key's secret. Only the digest is stored.
func SecretDigest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// KeyBySecret returns the key with the secret, even if it is withdrawn.
func (s *State) KeyBySecret(secret string) (Key, bool) {
	id, ok := s.KeyIDsByDigest[SecretDigest(secret)]
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
		if AtOrBelow(c.Branch, branch) {
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
	return Change{Branch: c.Branch, BaseVersion: base, Values: c.PreviousValues, Author: author}, nil
}

// CheckAccepted returns nil if the record with this ID is among the last accepted ones, and ErrStale otherwise. It
// gives the result for a record that was applied by a peer and received as part of the peer's state.
func (s *State) CheckAccepted(id string) error {
	if slices.Contains(s.RecentIDs, id) {
		return nil
	}
	return errors.Wrapf(ErrStale, "record %q was refused", id)
}
