// Package chain finds the holder and the state of a program tree in the log. The records of an epoch are in the stream
// of the epoch's holder. The claim that begins the next epoch is appended to the same stream, so the order of the
// stream decides which records precede the claim. Resolve follows the claims, starting at the first holder:
//
//	tree, err := chain.Resolve(ctx, log, root)
package chain

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
)

// ErrNotFound means that the log doesn't have the records needed to rebuild the tree.
var ErrNotFound = errors.New("no record of the program")

// Resolve returns the tree as recorded in the log. It returns ErrNotFound if the log has no usable records of the tree.
func Resolve(ctx context.Context, l plog.Log, root string) (prog.Tree, error) {
	_, first, err := prog.ParseID(root)
	if err != nil {
		return prog.Tree{}, err
	}
	rs := resolver{root: root, epoch: prog.FirstEpoch, holder: first}
	for {
		recs, err := readTree(ctx, l, rs.holder, root)
		if err != nil {
			return prog.Tree{}, err
		}
		if !rs.applyStream(recs) {
			break
		}
	}
	if rs.tree.Root == "" || rs.tree.Epoch != rs.epoch {
		return prog.Tree{}, errors.Wrapf(ErrNotFound, "program %q", root)
	}
	return rs.tree, nil
}

// Claim appends a claim that makes the instance the holder of t, a tree returned by Resolve, and returns the tree as
// recorded in the log afterwards. If another instance's claim came first, that instance is the holder. If the append
// failed and the log has no new claim, Claim returns the append's error.
func Claim(ctx context.Context, l plog.Log, t prog.Tree, instance string) (prog.Tree, error) {
	rec := prog.Record{Root: t.Root, Epoch: t.Epoch + 1, Claim: &prog.Claim{Holder: instance}}
	data, err := json.Marshal(plog.Batch[prog.Record]{ID: instance + " " + t.Root, Records: []prog.Record{rec}})
	if err != nil {
		return t, err
	}
	_, appendErr := l.Append(ctx, prog.HolderStream(t.Holder), data)
	now, err := Resolve(ctx, l, t.Root)
	if err != nil {
		return t, err
	}
	if appendErr != nil && now.Epoch == t.Epoch {
		return now, appendErr
	}
	return now, nil
}

// resolver is the state of Resolve: the epoch that it has reached, the holder whose stream is read next, and the tree.
type resolver struct {
	root   string
	epoch  int64
	holder string
	tree   prog.Tree
}

// applyStream applies the tree's records in the holder's stream. It reports whether they lead to another holder, whose
// stream is to be read next.
func (rs *resolver) applyStream(recs []prog.Record) bool {
	for _, r := range recs {
		if rs.followPointer(r) {
			return true
		}
		rs.tree = rs.tree.Apply(r)
		if rs.tree.Epoch > rs.epoch && r.Claim != nil {
			rs.epoch, rs.holder = rs.tree.Epoch, rs.tree.Holder
			return true
		}
		if r.Checkpoint != nil && rs.tree.Epoch > rs.epoch {
			rs.epoch = rs.tree.Epoch
		}
	}
	return false
}

// followPointer skips to the epoch and holder named by a HolderPointer record if that epoch is later than the one
// reached. This is how the holder is found when earlier records have been trimmed.
func (rs *resolver) followPointer(r prog.Record) bool {
	if r.HolderPointer == nil || r.Epoch <= rs.epoch || rs.tree.Epoch == r.Epoch {
		return false
	}
	rs.epoch, rs.holder, rs.tree = r.Epoch, r.HolderPointer.Holder, prog.Tree{}
	return true
}

func readTree(ctx context.Context, l plog.Log, holder, root string) ([]prog.Record, error) {
	p, err := plog.ReadAll(ctx, l, prog.HolderStream(holder))
	if err != nil {
		return nil, err
	}
	var out []prog.Record
	for _, e := range p.Entries {
		b, err := plog.DecodeBatch[prog.Record](e)
		if err != nil {
			return nil, err
		}
		for _, r := range b.Records {
			if r.Root == root {
				out = append(out, r)
			}
		}
	}
	return out, nil
}
