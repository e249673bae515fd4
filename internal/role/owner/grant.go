package owner

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
	"galenaward.example/galenaward/internal/state/turns"
)

// Grant is a number of tokens that another process may send to the callers of a program.
type Grant struct {
	ID string
	// Tokens is the number of tokens; it differs from the claim's if this is the grant of an earlier request.
	Tokens int64
	// Ticket must be confirmed, see Await, before the tokens may be used; 0 if they may be used at once.
	Ticket int64
	// Started says that the program used tokens before.
	Started bool
}

// Grant reserves the claim's tokens for another process. Patience is used as in Begin. If the claim's Ask was answered with
// a grant that is open, it returns that grant and reserves nothing.
func (p *Partition) Grant(c turns.Claim, holder string, patience time.Duration, now time.Time) (Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostCause != nil || p.closing {
		return Grant{}, errors.Wrapf(ErrMoved, "partition %d", p.id)
	}
	if id, granted, ok := p.ledger.GrantedBefore(c, holder); ok {
		g := Grant{ID: p.grantPrefix() + id, Tokens: granted.Tokens, Started: granted.Started}
		c.MaxTokens = 0 // The tokens are part of what is reserved.
		if !p.ledger.Allowed(c, now) {
			g.Ticket = p.programTickets[c.Program]
		}
		return g, nil
	}
	allowed := p.ledger.Allowed(c, now)
	if p.storeUnavailable(now) && now.Sub(p.pendingSince) > patience && !allowed {
		return Grant{}, errors.Wrapf(ErrStoreUnavailable, "partition %d for %s",
			p.id, now.Sub(p.pendingSince).Round(time.Millisecond))
	}
	g := Grant{Tokens: c.MaxTokens, Started: p.ledger.Started(c.Program)}
	id, rec, err := p.ledger.Grant(c, holder, now)
	if err != nil {
		return Grant{}, err
	}
	if rec != nil {
		p.programTickets[c.Program] = p.enqueue([]store.Record{*rec}, now)
	}
	g.ID = p.grantPrefix() + id
	if !allowed {
		g.Ticket = p.programTickets[c.Program]
	}
	return g, nil
}

// grantPrefix distinguishes the grants of this holder from those of earlier ones.
func (p *Partition) grantPrefix() string { return strconv.FormatInt(p.epoch, 36) + "-" }

// ReturnGrant takes back tokens of a grant that were not used. Closed means that no more of it will be used. Grants of
// earlier holders are ignored: their tokens are part of the ceilings that this holder counts as spent.
func (p *Partition) ReturnGrant(id string, unused int64, closed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id, ok := strings.CutPrefix(id, p.grantPrefix()); ok && !p.closing {
		_ = p.ledger.Return(id, unused, closed, now) // An expired grant has been counted as spent.
	}
}

// WithdrawGrant takes back a grant of which the process that asked is not told.
func (p *Partition) WithdrawGrant(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id, ok := strings.CutPrefix(id, p.grantPrefix()); ok && !p.closing {
		p.ledger.Withdraw(id, now)
	}
}

// GrantHolders returns the processes that hold grants of the program.
func (p *Partition) GrantHolders(program turns.Ref) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.GrantHolders(program)
}

// OpenGrants returns the number of open grants.
func (p *Partition) OpenGrants() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.OpenGrants()
}
