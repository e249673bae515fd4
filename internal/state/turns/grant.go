package turns

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

const (
	// grantTTL is how long a grant stays open without a word from the process that holds it. Then its tokens count as
	// spent. It exceeds the time after which holders return what they do not use.
	grantTTL = 30 * time.Second
	// unrecordedFraction is the fraction of a budget that grants may cover before any record of the account is durable, so
	// that programs which begin while the store is unavailable can go on. Every holder that dies costs programs without a
	// record as much.
	unrecordedFraction = 4
	// grantedAheadTurns is how many turns beyond the first a grant covers at most.
	grantedAheadTurns = 1
)

// Grant is a number of tokens of a program's budget that another process may send to callers without asking again. The
// tokens are reserved in the account until the process returns them or the grant expires.
type Grant struct {
	Program Ref
	// Holder is the peer address of the process.
	Holder string
	// Tokens is the number of tokens that may have been used of the grant; at least 0.
	Tokens int64
	// renewedAt is when the holder last asked for or returned tokens.
	renewedAt time.Time
}

// isGrant reports whether the claim is for a grant.
func (c Claim) isGrant() bool { return c.TurnTokens > 0 }

// unrecordedLimit returns the number of tokens that may be granted before any record of the account is durable.
func (c Claim) unrecordedLimit() int64 { return max(c.turnTokens(), c.Budget/unrecordedFraction) }

// Grant reserves tokens of the program for the holder: one turn and, if possible, more. The claim's MaxTokens are those
// of one turn. Unavailable means that the store confirms no records, so that only tokens are granted that need none. It
// returns the grant's ID, its tokens, and the record that must be durable before the tokens may be used, unless ready is
// true.
func (l *Ledger) Grant(
	c Claim, holder string, unavailable bool, now time.Time,
) (id string, tokens int64, rec *store.Record, ready bool, err error) {
	c.TurnTokens = c.MaxTokens
	one, more := c, c
	more.MaxTokens = c.MaxTokens + l.ahead(c, now)
	switch {
	case l.Allowed(more, now):
		c, ready = more, true
	case l.Allowed(one, now):
		ready = true
	case !unavailable:
		c = more
	}
	if rec, err = l.Reserve(c, now); err != nil {
		return "", 0, nil, false, err
	}
	l.nextGrant++
	id = strconv.FormatInt(l.nextGrant, 36)
	l.grants[id] = Grant{Program: c.Program, Holder: holder, Tokens: c.MaxTokens, renewedAt: now}
	return id, c.MaxTokens, rec, ready, nil
}

// ahead returns how many tokens beyond one turn a grant covers: at most half of what the budget then leaves, since
// other processes may run turns of the program too.
func (l *Ledger) ahead(c Claim, now time.Time) int64 {
	n := grantedAheadTurns * c.MaxTokens
	if c.Budget > 0 {
		p := l.account(c, now)
		n = min(n, max(0, (c.Budget-p.Spent-p.Reserved-c.MaxTokens)/2))
	}
	return n
}

// ErrUnknownGrant means that the grant is not open: it was closed, has expired, or is one of an earlier holder of the
// partition.
var ErrUnknownGrant = errors.New("no such grant")

// Return takes back tokens of a grant that were not used. Closed means that the holder uses no more of it, so that the
// rest of its tokens count as spent.
func (l *Ledger) Return(id string, unused int64, closed bool, now time.Time) error {
	g, ok := l.grants[id]
	if !ok {
		return errors.Wrapf(ErrUnknownGrant, "grant %q", id)
	}
	unused = min(max(0, unused), g.Tokens)
	p := l.accounts[g.Program]
	p.Reserved -= unused
	g.Tokens -= unused
	g.renewedAt = now
	l.grants[id] = g
	if closed {
		p.Reserved -= g.Tokens
		p.Spent += g.Tokens
		delete(l.grants, id)
	}
	l.accounts[g.Program] = p
	return nil
}

// GrantHolders returns the processes that hold grants of the program.
func (l *Ledger) GrantHolders(program Ref) []string {
	seen := make(map[string]bool)
	var out []string
	for _, g := range l.grants {
		if g.Program == program && !seen[g.Holder] {
			seen[g.Holder] = true
			out = append(out, g.Holder)
		}
	}
	return out
}

// expireGrants closes grants that were not renewed for grantTTL.
func (l *Ledger) expireGrants(now time.Time) (expired int) {
	for id, g := range l.grants {
		if now.Sub(g.renewedAt) > grantTTL && l.Return(id, 0, true, now) == nil {
			expired++
		}
	}
	return expired
}

// Started reports whether the program has used tokens or holds some.
func (l *Ledger) Started(program Ref) bool {
	p := l.accounts[program]
	return p.Spent+p.Reserved > p.assumed
}

// OpenGrants returns the number of open grants and their tokens.
func (l *Ledger) OpenGrants() (grants int, tokens int64) {
	for _, g := range l.grants {
		tokens += g.Tokens
	}
	return len(l.grants), tokens
}
