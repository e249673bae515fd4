package turns

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

// grantTTL is how long a grant stays open without a word from the process that holds it. Then its tokens count as spent.
// It exceeds the time after which holders return what they do not use.
const grantTTL = 30 * time.Second

// ErrUnknownGrant means that the grant is not open: it was closed, has expired, or is one of an earlier holder of the
// partition.
var ErrUnknownGrant = errors.New("no such grant")

// Grant is a number of tokens of a program's budget that another process may send to callers without asking again. The
// tokens are reserved in the account until the process returns them or the grant expires.
type Grant struct {
	Program Ref
	// Holder is the peer address of the process.
	Holder string
	// Tokens is the number of tokens that may have been used of the grant; at least 0.
	Tokens int64
	// Started says that the program had used tokens, or held some, before the grant.
	Started bool
	// ask is the request that it answers; repeated says that a repeat of the request got it as well.
	ask      ask
	repeated bool
	// renewedAt is when the grant was given, or tokens of it were last returned.
	renewedAt time.Time
}

// ask identifies a request for a grant; the zero value stands for any that is not repeated.
type ask struct {
	program    Ref
	holder, id string
}

func (c Claim) askOf(holder string) ask {
	if c.Ask == "" {
		return ask{}
	}
	return ask{c.Program, holder, c.Ask}
}

// GrantedBefore returns the open grant that an earlier request with the claim's Ask got, if there is one. The holder asks
// again only while it has not received the answer, so it has used nothing of the grant.
func (l *Ledger) GrantedBefore(c Claim, holder string) (id string, g Grant, ok bool) {
	if id, ok = l.asks[c.askOf(holder)]; !ok {
		return "", Grant{}, false
	}
	g = l.grants[id]
	g.repeated = true
	l.grants[id] = g
	return id, g, true
}

// Withdraw takes back a grant since the request that it answers fails. It does nothing if the request was repeated: the
// holder may use the tokens that the other answer gave it, and otherwise asks again or lets the grant expire.
func (l *Ledger) Withdraw(id string, now time.Time) {
	if g, ok := l.grants[id]; ok && !g.repeated {
		_ = l.Return(id, g.Tokens, true, now) // The grant is open.
	}
}

// Grant reserves the claim's MaxTokens for the holder. It returns the grant's ID and the record that must be durable
// before the tokens are used, unless Allowed was true before, or nil if an earlier record covers them.
func (l *Ledger) Grant(c Claim, holder string, now time.Time) (id string, rec *store.Record, err error) {
	started := l.Started(c.Program)
	if rec, err = l.Reserve(c, now); err != nil {
		return "", nil, err
	}
	l.nextGrant++
	id = strconv.FormatInt(l.nextGrant, 36)
	g := Grant{
		Program: c.Program, Holder: holder, Tokens: c.MaxTokens, Started: started, ask: c.askOf(holder), renewedAt: now,
	}
	l.grants[id] = g
	if g.ask != (ask{}) {
		l.asks[g.ask] = id
	}
	return id, rec, nil
}

// Return takes back tokens of a grant that were not used. Closed means that the holder uses no more of it, so that the
// rest of its tokens count as spent.
func (l *Ledger) Return(id string, unused int64, closed bool, now time.Time) error {
	g, ok := l.grants[id]
	if !ok {
		return errors.Wrapf(ErrUnknownGrant, "grant %q", id)
	}
	unused = min(max(0, unused), g.Tokens)
	g.Tokens, g.renewedAt = g.Tokens-unused, now
	l.grants[id] = g
	p := l.accounts[g.Program]
	p.Reserved -= unused
	if closed {
		p.Reserved, p.Spent = p.Reserved-g.Tokens, p.Spent+g.Tokens
		delete(l.grants, id)
		if l.asks[g.ask] == id {
			delete(l.asks, g.ask)
		}
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
func (l *Ledger) expireGrants(now time.Time) {
	for id, g := range l.grants {
		if now.Sub(g.renewedAt) > grantTTL {
			_ = l.Return(id, 0, true, now) // The grant is open.
		}
	}
}

// Started reports whether the program has used tokens or holds some.
func (l *Ledger) Started(program Ref) bool {
	p := l.accounts[program]
	return p.Spent+p.Reserved > 0
}

// OpenGrants returns the number of open grants.
func (l *Ledger) OpenGrants() int { return len(l.grants) }
