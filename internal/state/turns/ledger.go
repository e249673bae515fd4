// Package turns keeps the history and the token budgets of the programs in one partition: which turns are complete,
// which turn each of them continues, and how many tokens each program may have used. A Ledger does no I/O. Its methods
// return the records that make a change durable.
//
// A program may send its callers one turn more than the confirmed records of its account cover, so that turns go on
// while the store is away. An account that is restored after its holder died therefore counts at most one turn less as
// spent than was used, and is not given that turn again: over all holders, a program uses at most its budget and one
// turn. A holder that hands its partition over records all accounts exactly, see Close.
package turns

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

var (
	// ErrBudgetExhausted means that what is left of the program's budget does not cover the turn.
	ErrBudgetExhausted = errors.New("program token budget exhausted")
	// ErrUnknownTurn means that the ledger does not contain the turn in this workspace.
	ErrUnknownTurn = errors.New("no such turn")
)

// Ref identifies a turn or a program. Callers choose the IDs, so they are unique only within a workspace.
type Ref struct{ Workspace, ID string }

// Turn is a turn whose answer is complete. It is immutable.
type Turn struct {
	Ref
	Program string `json:"program"`
	// Previous is the ID of the turn that this one continues; empty at the start of a chain.
	Previous string `json:"previous,omitempty"`
	// Input is the caller's input. Output is the data of each event, each followed by a line feed.
	Input  []byte `json:"-"`
	Output []byte `json:"-"`
	// ExpiresAt is the Unix time in milliseconds until which the turn and its chain are kept, by the clock of the holder
	// that recorded it.
	ExpiresAt int64 `json:"until"`
	// KeptMS is how long a holder keeps the turn from the moment at which it learns of it. Zero means until ExpiresAt.
	KeptMS int64 `json:"kept_ms,omitempty"`
}

// Account is the token account of one program.
type Account struct {
	// Spent is the number of tokens used by turns that have ended. It never decreases.
	Spent int64
	// Reserved is the number of tokens reserved for running turns.
	Reserved int64
	// Ceiling is the maximum number of tokens that may have been used according to the newest record. After a takeover
	// it counts as spent.
	Ceiling int64
	// Confirmed is the ceiling of the newest record that is known to be durable, pending holds those of later records in
	// order. Spent+Reserved is at most the lowest of them, plus one turn unless Uncertain is set.
	Confirmed int64
	pending   []int64
	// Uncertain is set if one turn more may have been used than Spent counts. It stays set as long as the account lasts.
	Uncertain bool
	// recordedUncertain says that the account's newest record is marked as uncertain.
	recordedUncertain bool
	// ExpiresAt is the Unix time in milliseconds until which the account is kept.
	ExpiresAt int64
}

// Ledger holds the turns and accounts of one partition. It is not safe for concurrent use.
type Ledger struct {
	turns    map[Ref]Turn
	accounts map[Ref]Account
	// keptUntil is when each turn expires here: the latest expiry of the turn and of all turns that continue it. It is
	// compared by elapsed time, so that a step of the clock does not end a retention early.
	keptUntil map[Ref]time.Time
	// grants holds the open grants by their IDs. Their tokens are part of Reserved.
	grants map[string]Grant
	// asks holds the IDs of open grants by the requests that they answered.
	asks map[ask]string
	// nextGrant numbers the grants of this ledger.
	nextGrant int64
	handover
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		turns: make(map[Ref]Turn), accounts: make(map[Ref]Account), keptUntil: make(map[Ref]time.Time),
		grants: make(map[string]Grant), asks: make(map[ask]string),
	}
}

// Claim is a request to run a turn.
type Claim struct {
	Program Ref
	// Budget is the number of tokens that all turns of the program may use together; 0 means no limit.
	Budget int64
	// MaxTokens is the maximum number of tokens that this turn may use.
	MaxTokens int64
	// AccountTTL is how long the account is kept after Reserve.
	AccountTTL time.Duration
	// Recorded is set if Finish will record the turn, which also records a ceiling that covers the program's next turn.
	// For other turns, the record that Reserve returns covers later turns as well, so that not every turn needs one.
	Recorded bool
	// TurnTokens is set for grants, whose MaxTokens may be those of more or less than a turn: the maximum number of tokens
	// of one turn.
	TurnTokens int64
	// Ask identifies a request for a grant, so that its repeat gets the same grant. Empty if it is not repeated.
	Ask string
}

// turnTokens returns the maximum number of tokens that one turn uses.
func (c Claim) turnTokens() int64 {
	if c.TurnTokens > 0 {
		return c.TurnTokens
	}
	return c.MaxTokens
}

// reservedAheadTurns is how many later turns the record of an unrecorded turn covers.
const reservedAheadTurns = 2

// reserveAhead returns how many tokens beyond used a record should cover. They count as spent after a takeover, so at
// most half of the remaining budget is reserved ahead.
func (c Claim) reserveAhead(used int64) int64 {
	n := reservedAheadTurns * c.turnTokens()
	if c.Budget > 0 {
		n = min(n, (c.Budget-used)/2)
	}
	return n
}

// Covered reports whether an earlier record covers the turn, in which case Reserve returns none.
func (l *Ledger) Covered(c Claim) bool {
	p := l.accounts[c.Program]
	return p.Spent+p.Reserved+c.MaxTokens <= p.Ceiling
}

// Reserve reserves tokens for a turn. It returns the record that must be durable before the first token is sent to the
// caller, unless Allowed was true before, or nil if an earlier record already covers the turn.
func (l *Ledger) Reserve(c Claim, now time.Time) (*store.Record, error) {
	p := l.account(c.Program, now)
	used := p.Spent + p.Reserved + c.MaxTokens
	if c.Budget > 0 && used > c.Budget {
		return nil, errors.Wrapf(ErrBudgetExhausted, "program %q: %d of %d tokens spent, %d reserved, %d requested",
			c.Program.ID, p.Spent, c.Budget, p.Reserved, c.MaxTokens)
	}
	p.Reserved += c.MaxTokens
	p.ExpiresAt = max(p.ExpiresAt, now.Add(c.AccountTTL).UnixMilli())
	if used <= p.Ceiling {
		l.accounts[c.Program] = p
		return nil, nil
	}
	ceiling := used
	if !c.Recorded {
		ceiling += c.reserveAhead(used)
	}
	r := l.record(c.Program, p, ceiling)
	return &r, nil
}

// account returns the program's account. A program without one may have used a turn at a holder that died before its
// record was durable.
func (l *Ledger) account(ref Ref, now time.Time) Account {
	p, known := l.accounts[ref]
	if !known {
		p.Uncertain = now.UnixMilli() < l.unrecordedUntil
	}
	return p
}

// record sets the account's ceiling and returns the record of it.
func (l *Ledger) record(ref Ref, p Account, ceiling int64) store.Record {
	p.Ceiling, p.recordedUncertain = ceiling, p.Uncertain
	p.pending = append(p.pending[:len(p.pending):len(p.pending)], ceiling)
	l.accounts[ref] = p
	return encodeAccount(ref, p)
}

// Allowed reports whether the tokens of a turn that is reserved next may be sent before any further record is confirmed.
func (l *Ledger) Allowed(c Claim, now time.Time) bool {
	p := l.account(c.Program, now)
	limit := p.durable()
	if l.opened && !p.Uncertain {
		limit += c.turnTokens()
	}
	return p.Spent+p.Reserved+c.MaxTokens <= limit
}

// durable returns the lowest ceiling that the store may hold.
func (p Account) durable() int64 {
	if len(p.pending) == 0 {
		return p.Confirmed
	}
	return min(p.Confirmed, slices.Min(p.pending))
}

// Confirm marks records that this ledger returned as durable. It must be called in their order.
func (l *Ledger) Confirm(records []store.Record) {
	for _, r := range records {
		kind, ref, err := parseKey(r.Key)
		switch {
		case err != nil || len(r.Value) == 0:
		case kind == handoverKind:
			l.opened = l.isOpening(r.Value)
		case kind == programKind:
			if p, ok := l.accounts[ref]; ok && len(p.pending) > 0 {
				p.Confirmed, p.pending = p.pending[0], p.pending[1:]
				l.accounts[ref] = p
			}
		}
	}
}

// Reject undoes records that this ledger returned and that the store can never accept. It must be called in their order.
// Tokens that were counted as spent stay so.
func (l *Ledger) Reject(records []store.Record) {
	for _, r := range records {
		kind, ref, err := parseKey(r.Key)
		switch {
		case err != nil || len(r.Value) == 0:
		case kind == turnKind:
			delete(l.turns, ref)
			delete(l.keptUntil, ref)
		case kind == programKind:
			if p, ok := l.accounts[ref]; ok && len(p.pending) > 0 {
				p.pending, p.recordedUncertain = p.pending[1:], false
				p.Ceiling = p.Confirmed
				if n := len(p.pending); n > 0 {
					p.Ceiling = p.pending[n-1]
				}
				l.accounts[ref] = p
			}
		}
	}
}

// Cancel ends a turn whose answer is incomplete and which used the given number of tokens.
func (l *Ledger) Cancel(c Claim, tokens int64) {
	p := l.accounts[c.Program]
	p.Reserved -= c.MaxTokens
	p.Spent += tokens
	l.accounts[c.Program] = p
}

// Finish ends a turn whose answer is complete. The returned records make the turn durable and reserve tokens for the
// program's next turn.
func (l *Ledger) Finish(c Claim, t Turn, tokens int64, now time.Time) []store.Record {
	l.Cancel(c, tokens)
	p := l.accounts[c.Program]
	l.addTurn(t, now)
	return []store.Record{encodeTurn(t), l.record(c.Program, p, p.Spent+p.Reserved+c.MaxTokens)}
}

// Import adds turns from another ledger, unless they are known already, and returns their records.
func (l *Ledger) Import(ts []Turn, now time.Time) []store.Record {
	var out []store.Record
	for _, t := range ts {
		if _, ok := l.turns[t.Ref]; ok {
			continue
		}
		l.addTurn(t, now)
		out = append(out, encodeTurn(t))
	}
	return out
}

// addTurn adds the turn and extends the retention of its chain.
func (l *Ledger) addTurn(t Turn, now time.Time) {
	l.turns[t.Ref] = t
	l.keepChain(t.Ref, t.keptUntil(now))
}

// keepChain keeps the turn and those that it continues at least until the given time.
func (l *Ledger) keepChain(ref Ref, until time.Time) {
	for ref.ID != "" {
		t, ok := l.turns[ref]
		if !ok || !l.keptUntil[ref].Before(until) {
			return
		}
		l.keptUntil[ref] = until
		ref = Ref{ref.Workspace, t.Previous}
	}
}

// Chain returns the turns from the start of the chain to ref.
func (l *Ledger) Chain(ref Ref) ([]Turn, error) {
	var out []Turn
	for ref.ID != "" {
		t, ok := l.turns[ref]
		if !ok {
			return nil, errors.Wrapf(ErrUnknownTurn, "turn %q of workspace %q", ref.ID, ref.Workspace)
		}
		out = append(out, t)
		ref = Ref{ref.Workspace, t.Previous}
	}
	slices.Reverse(out)
	return out, nil
}

// Prompt returns the prompt that an engine receives for a chain and a new input.
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

// Restore adds a record that an earlier holder of the partition wrote. Accounts and turns that are known already stay
// as they are, so that turns may run before all records are restored. All accounts must be restored before the first
// turn runs.
func (l *Ledger) Restore(r store.Record, now time.Time) error {
	kind, ref, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 || kind == markerKind {
		return nil
	}
	if kind == handoverKind {
		return l.restoreHandover(r.Value)
	}
	if kind == programKind {
		p, err := decodeAccount(r.Value)
		if err != nil {
			return errors.Wrapf(err, "account of program %q", ref.ID)
		}
		if _, known := l.accounts[ref]; !known {
			l.accounts[ref] = p
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
	if until := t.keptUntil(now); l.keptUntil[ref].Before(until) {
		l.keptUntil[ref] = until
	}
	return nil
}

// FinishRestore must be called after the last Restore. It extends the retention of chains, which Restore cannot do
// since records may come in any order.
func (l *Ledger) FinishRestore() {
	for ref, t := range l.turns {
		l.keepChain(Ref{t.Workspace, t.Previous}, l.keptUntil[ref])
	}
}

// Expire removes turns and accounts whose retention has ended and returns the records that remove them from the store.
// Accounts stay while records of theirs are unconfirmed, since Confirm would count those towards a later account.
func (l *Ledger) Expire(now time.Time) []store.Record {
	var out []store.Record
	at := now.UnixMilli()
	l.expireGrants(now)
	for ref, until := range l.keptUntil {
		if until.Before(now) {
			out = append(out, store.Record{Key: turnKey(l.turns[ref])})
			delete(l.keptUntil, ref)
			delete(l.turns, ref)
		}
	}
	for ref, p := range l.accounts {
		if p.ExpiresAt < at && p.Reserved == 0 && len(p.pending) == 0 {
			delete(l.accounts, ref)
			out = append(out, store.Record{Key: programKey(ref)})
		}
	}
	return out
}

// Account returns the program's account, or a zero Account if there is none.
func (l *Ledger) Account(ref Ref) Account { return l.accounts[ref] }

// Len returns the number of turns and the number of accounts.
func (l *Ledger) Len() (turns, accounts int) { return len(l.turns), len(l.accounts) }
