package conf

import "github.com/cockroachdb/errors"

// ErrNoSnapshot means that the retained records include neither the start of the stream nor a usable snapshot.
var ErrNoSnapshot = errors.New("settings stream has no usable snapshot within its retention")

// OffsetRecord is a record with its offset.
type OffsetRecord struct {
	Offset int64
	Record Record
}

// Rebuild rebuilds the state from the retained records, the first of which has the offset oldest. It starts from the
// newest snapshot after which all records are retained.
func Rebuild(oldest int64, records []OffsetRecord) (*State, error) {
	base := &State{}
	found := oldest == 0
	for _, r := range records {
		if r.Record.Snapshot != nil && r.Record.Snapshot.Version >= oldest {
			base = r.Record.Snapshot
			found = true
		}
	}
	if !found {
		return nil, errors.Wrapf(ErrNoSnapshot, "oldest retained offset %d", oldest)
	}
	for _, r := range records {
		base, _ = base.Apply(r.Offset, r.Record)
	}
	return base, nil
}
