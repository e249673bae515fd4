package conf

import "github.com/cockroachdb/errors"

// ErrNoBase means that the retained records include neither the start of the stream nor a usable snapshot.
var ErrNoBase = errors.New("settings stream has no usable snapshot within its retention")

// Stamped is a record with its offset.
type Stamped struct {
	Offset int64
	Record Record
}

// Rebase rebuilds the state from the retained records, the first of which has the offset oldest. It starts from the
// newest snapshot after which all records are retained.
func Rebase(oldest int64, records []Stamped) (*State, error) {
	base := &State{}
	found := oldest == 0
	for _, r := range records {
		if r.Record.Snapshot != nil && r.Record.Snapshot.Version >= oldest {
			base = r.Record.Snapshot
			found = true
		}
	}
	if !found {
		return nil, errors.Wrapf(ErrNoBase, "oldest retained offset %d", oldest)
	}
	for _, r := range records {
		base, _ = base.Apply(r.Offset, r.Record)
	}
	return base, nil
}
