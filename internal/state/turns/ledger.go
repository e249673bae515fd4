// Package turns keeps the history and the budgets of programs for one partition: which turns were answered whole,
// how they continue each other, and how many tokens each program may have handed out. A ledger does no I/O. Its
// methods return the records that make a change durable; what they restore is at least as strict as what was known.
package turns

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

var (
	// ErrBudget means that the program's budget does not hold one more turn.
	ErrBudget = errors.New("the program's budget is spent")
	// ErrUnknown means that the ledger holds no such turn of the workspace.
	ErrUnknown = errors.New("no such turn")
)

// Ref names a turn or a program. Ids are chosen by callers, so they are only unique within a workspace.
type Ref struct{ Workspace, ID string }

// Turn is a turn that was answered whole. It is immutable.
type Turn struct {
	Ref
	Program string `json:"program"`
	// Previous is the id of the turn that this one continues; empty at the start of a chain.
	Previous string `json:"previous,omitempty"`
	// Input is the caller's input, Output the data of each event followed by a line feed.
	Input  []byte `json:"-"`
	Output []byte `json:"-"`
	// Until is the Unix millisecond until which the turn and its chain are kept.
	Until int64 `json:"until"`
}

// Program is the account of one program.
type Program struct {
	// Spent is the tokens handed out by turns that ended. It never falls.
	Spent int64
	// Reserved is the most that turns under way may still hand out.
	Reserved int64
	// Ceiling is the most that may have been handed out according to the newest record. A takeover counts it as
	// spent.
	Ceiling int64
	// Until is the Unix millisecond until which the account is kept.
	Until int64
}

// Ledger is the state of one partition. It is not safe for concurrent use.
type Ledger struct {
	turns    map[Ref]Turn
	programs map[Ref]Program
	// until is the last time to keep a turn for, over its own and those that continue it.
	until map[Ref]int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{turns: make(map[Ref]Turn), programs: make(map[Ref]Program), until: make(map[Ref]int64)}
}

// Claim is a turn that asks to run.
type Claim struct {
	Program Ref
	// Budget is the tokens that all turns of the program may hand out together; 0 is no limit.
	Budget int64
	// Most is the most tokens that this turn may hand out.
	Most int64
	// Keep is how long the account is kept after the claim.
	Keep time.Duration
	// Recorded says that Finish will record the turn, and with it the ceiling that covers the program's next one. The
	// records of other turns cover the next one as well, so that not each of them needs one.
	Recorded bool
}

// aheadTurns is the number of turns to come that a record of a program without kept history covers.
const aheadTurns = 2

// ahead returns how many tokens beyond those in use a record should cover. A takeover counts them as spent, so at most half
// of what is left is put at risk.
func (c Claim) ahead(used int64) int64 {
	n := aheadTurns * c.Most
	if c.Budget > 0 {
		n = min(n, (c.Budget-used)/2)
	}
	return n
}

// Covered reports whether an earlier record covers the turn, so that Reserve returns none.
func (l *Ledger) Covered(c Claim) bool {
	p := l.programs[c.Program]
	return p.Spent+p.Reserved+c.Most <= p.Ceiling
}

// Reserve sets tokens aside for a turn. It returns the record that must be durable before the first token is handed
// out, or none if an earlier record covers the turn already.
func (l *Ledger) Reserve(c Claim, now time.Time) (*store.Record, error) {
	p := l.programs[c.Program]
	used := p.Spent + p.Reserved + c.Most
	if c.Budget > 0 && used > c.Budget {
		return nil, errors.Wrapf(ErrBudget, "program %q: %d of %d tokens spent, %d reserved, %d asked",
			c.Program.ID, p.Spent, c.Budget, p.Reserved, c.Most)
	}
	p.Reserved += c.Most
	p.Until = max(p.Until, now.Add(c.Keep).UnixMilli())
	if used <= p.Ceiling {
		l.programs[c.Program] = p
		return nil, nil
	}
	p.Ceiling = used
	if !c.Recorded {
		p.Ceiling += c.ahead(used)
	}
	l.programs[c.Program] = p
	r := programRecord(c.Program, p)
	return &r, nil
}

// Cancel ends a turn that was not answered whole and handed out so many tokens.
func (l *Ledger) Cancel(c Claim, tokens int64) {
	p := l.programs[c.Program]
	p.Reserved -= c.Most
	p.Spent += tokens
	l.programs[c.Program] = p
}

// Finish ends a turn that was answered whole. The records returned make the turn durable and reserve the program's
// next turn ahead.
func (l *Ledger) Finish(c Claim, t Turn, tokens int64) []store.Record {
	l.Cancel(c, tokens)
	p := l.programs[c.Program]
	p.Ceiling = p.Spent + p.Reserved + c.Most
	l.programs[c.Program] = p
	l.add(t)
	return []store.Record{turnRecord(t), programRecord(c.Program, p)}
}

// Import adds turns that another ledger holds and returns their records.
func (l *Ledger) Import(ts []Turn) []store.Record {
	var out []store.Record
	for _, t := range ts {
		if _, ok := l.turns[t.Ref]; ok {
			continue
		}
		l.add(t)
		out = append(out, turnRecord(t))
	}
	return out
}

// add keeps the turn and prolongs the time for which its chain is kept.
func (l *Ledger) add(t Turn) {
	l.turns[t.Ref] = t
	for ref := t.Ref; ; {
		cur, ok := l.turns[ref]
		if !ok || l.until[ref] >= t.Until {
			return
		}
		l.until[ref] = t.Until
		ref = Ref{ref.Workspace, cur.Previous}
	}
}

// Chain returns the turns from the start of the chain to the turn named.
func (l *Ledger) Chain(ref Ref) ([]Turn, error) {
	var out []Turn
	for ref.ID != "" {
		t, ok := l.turns[ref]
		if !ok {
			return nil, errors.Wrapf(ErrUnknown, "turn %q of workspace %q", ref.ID, ref.Workspace)
		}
		out = append(out, t)
		ref = Ref{ref.Workspace, t.Previous}
	}
	slices.Reverse(out)
	return out, nil
}

// Prompt returns what an engine receives for the chain and a new input.
func Prompt(chain []Turn, input []byte) []byte {
	size := len(input)
	for _, t := range chain {
		size += len(t.Input) + len(t.Output)
	}
	out := make([]byte, 0, size)
	for _, t := range chain {
		out = append(append(out, t.Input...), t.Output...)
	}
	return append(out, input...)
}

// Restore takes a record that an earlier holder of the partition wrote. What is known already stays as it is, so that
// turns may run before all records are restored; all accounts must be before the first turn.
func (l *Ledger) Restore(r store.Record) error {
	kind, ref, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 || kind == markerKind {
		return nil
	}
	if kind == programKind {
		p, err := decodeProgram(r.Value)
		if err != nil {
			return errors.Wrapf(err, "account of program %q", ref.ID)
		}
		if _, known := l.programs[ref]; !known {
			l.programs[ref] = p
		}
		return nil
	}
	t, err := decodeTurn(ref, r.Value)
	if err != nil {
		return errors.Wrapf(err, "turn %q", ref.ID)
	}
	if _, known := l.turns[ref]; known {
		return nil
	}
	l.turns[ref] = t
	l.until[ref] = max(l.until[ref], t.Until)
	return nil
}

// Restored ends a series of Restore calls: records may come in any order, so chains are prolonged at the end.
func (l *Ledger) Restored() {
	for _, t := range l.turns {
		for ref := (Ref{t.Workspace, t.Previous}); ref.ID != ""; {
			cur, ok := l.turns[ref]
			if !ok || l.until[ref] >= t.Until {
				break
			}
			l.until[ref] = t.Until
			ref = Ref{ref.Workspace, cur.Previous}
		}
	}
}

// Expire drops what is kept no longer and returns the records that remove it.
func (l *Ledger) Expire(now time.Time) []store.Record {
	var out []store.Record
	at := now.UnixMilli()
	for ref, until := range l.until {
		if until < at {
			out = append(out, store.Record{Key: turnKey(l.turns[ref])})
			delete(l.until, ref)
			delete(l.turns, ref)
		}
	}
	for ref, p := range l.programs {
		if p.Until < at && p.Reserved == 0 {
			delete(l.programs, ref)
			out = append(out, store.Record{Key: programKey(ref)})
		}
	}
	return out
}

// Program returns the account of the program.
func (l *Ledger) Program(ref Ref) Program { return l.programs[ref] }

// Len returns the number of turns and of accounts.
func (l *Ledger) Len() (turns, programs int) { return len(l.turns), len(l.programs) }
