package turns

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// unrecordedTTL is the minimum time after the death of a holder for which a program without an account may have used
// tokens there.
const unrecordedTTL = 2 * time.Minute

// handover is what a ledger knows of how the previous holder of its partition ended.
type handover struct {
	// complete is set if the newest restored record says that the previous holder recorded all accounts exactly.
	complete bool
	// unrecordedUntil is the Unix time in milliseconds before which a program without an account may have used one turn.
	unrecordedUntil int64
	// opened is set once the record that Open returned is durable. Before, the store may still say that all accounts are
	// exact, and no turn beyond the confirmed records is allowed.
	opened bool
}

// handoverRecord is the stored form of a handover.
type handoverRecord struct {
	Complete        bool  `json:"complete"`
	UnrecordedUntil int64 `json:"unrecorded_until"`
}

func (h handover) encode(complete bool) store.Record {
	v, err := json.Marshal(handoverRecord{Complete: complete, UnrecordedUntil: h.unrecordedUntil})
	if err != nil {
		panic(err) // A struct of an integer and a boolean.
	}
	return store.Record{Key: handoverKind, Value: v}
}

func (h *handover) restoreHandover(value []byte) error {
	var r handoverRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrap(err, "decode handover")
	}
	h.complete, h.unrecordedUntil = r.Complete, r.UnrecordedUntil
	return nil
}

// isOpening reports whether the record is one that Open or Reopen returned.
func (h handover) isOpening(value []byte) bool {
	return h.restoreHandover(value) == nil && !h.complete
}

// Open must be called once all accounts are restored, and before the first Reserve. Empty means that the partition has
// no records. The returned record says that this holder may use tokens that no record covers.
func (l *Ledger) Open(empty bool, now time.Time) store.Record {
	if !empty && !l.complete {
		l.unrecordedUntil = max(l.unrecordedUntil, now.Add(unrecordedTTL).UnixMilli())
		for ref, p := range l.accounts {
			p.Uncertain = true
			l.accounts[ref] = p
			l.unrecordedUntil = max(l.unrecordedUntil, p.ExpiresAt)
		}
	}
	return l.encode(false)
}

// maxExactAccounts bounds the accounts that Close records only because they used less than their ceiling. The accounts
// that were used last come first; for the others the next holder counts their ceilings.
const maxExactAccounts = 4000

// Close returns records after which the next holder knows all accounts as this one does: exactly, or as uncertain. Turns
// that still run are counted with all tokens that they may use. No turn may be reserved afterwards, unless Reopen is
// called.
func (l *Ledger) Close() []store.Record {
	var unmarked, inexact []Ref
	for ref, p := range l.accounts {
		switch {
		case p.Uncertain != p.recordedUncertain:
			unmarked = append(unmarked, ref)
		case p.Spent+p.Reserved != p.Ceiling:
			inexact = append(inexact, ref)
		}
	}
	if len(inexact) > maxExactAccounts {
		slices.SortFunc(inexact, func(a, b Ref) int { return cmp.Compare(l.accounts[b].ExpiresAt, l.accounts[a].ExpiresAt) })
		inexact = inexact[:maxExactAccounts]
	}
	var out []store.Record
	for _, ref := range append(unmarked, inexact...) {
		p := l.accounts[ref]
		out = append(out, l.record(ref, p, p.Spent+p.Reserved))
	}
	return append(out, l.encode(true))
}

// Reopen undoes Close and returns the record that says so.
func (l *Ledger) Reopen() store.Record {
	l.opened = false
	return l.encode(false)
}
