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
	// deaths counts the holders that ended without recording all accounts exactly.
	deaths int64
	// recent holds, for each of these deaths, the Unix time in milliseconds before which a program without an account may
	// have used tokens at that holder. Entries that have passed are removed with the next death.
	recent []int64
}

// recentDeaths returns the number of dead holders at which a program without an account may have used tokens.
func (h handover) recentDeaths(now time.Time) int64 {
	n := int64(0)
	for _, until := range h.recent {
		if now.UnixMilli() < until {
			n++
		}
	}
	return n
}

// addDeath counts one more holder that ended without recording all accounts exactly.
func (h *handover) addDeath(now time.Time) {
	h.deaths++
	at := now.UnixMilli()
	h.recent = append(slices.DeleteFunc(slices.Clone(h.recent), func(until int64) bool { return until <= at }), h.unrecordedUntil)
}

// handoverRecord is the stored form of a handover.
type handoverRecord struct {
	Complete        bool  `json:"complete"`
	UnrecordedUntil int64 `json:"unrecorded_until"`
	Deaths          int64 `json:"deaths,omitempty"`
	// Recent is handover.recent.
	Recent []int64 `json:"recent,omitempty"`
}

func (h handover) encode(complete bool) store.Record {
	v, err := json.Marshal(handoverRecord{
		Complete: complete, UnrecordedUntil: h.unrecordedUntil, Deaths: h.deaths, Recent: h.recent,
	})
	if err != nil {
		panic(err) // A struct of integers and a boolean.
	}
	return store.Record{Key: handoverKind, Value: v}
}

func (h *handover) restoreHandover(value []byte) error {
	var r handoverRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrap(err, "decode handover")
	}
	h.complete, h.unrecordedUntil = r.Complete, r.UnrecordedUntil
	h.deaths, h.recent = r.Deaths, r.Recent
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
		for _, p := range l.accounts {
			l.unrecordedUntil = max(l.unrecordedUntil, p.ExpiresAt)
		}
		l.addDeath(now)
	}
	for ref, p := range l.accounts {
		l.accounts[ref] = p.withDeaths(l.deaths)
	}
	return l.encode(false)
}

// withDeaths returns a restored account. Every holder since its record may have granted one turn without a record.
func (p Account) withDeaths(deaths int64) Account {
	turns := max(0, deaths-p.recordedDeaths)
	if p.Uncertain {
		turns++
	}
	p.Uncertain, p.uncounted = turns > 0, max(0, turns-1)
	return p
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
