package turns

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// modelGrant is a grant of a ledger, less what was sent of it.
type modelGrant struct {
	ledger  *Ledger
	id      string
	program Ref
	tokens  int64
}

// grant asks for a grant, which another process uses once its record is durable or if it needs none. The tokens stay usable
// after the holder died.
func (h *holders) grant(program Ref) {
	if h.closed {
		return
	}
	c := h.claim(program)
	c.TurnTokens, c.MaxTokens = modelTurnTokens, rapid.SampledFrom([]int64{20, modelTurnTokens, 250}).Draw(h.t, "tokens")
	allowed := h.ledger.Allowed(c, h.now)
	id, rec, err := h.ledger.Grant(c, "peer", h.now)
	if err != nil {
		return
	}
	if rec != nil {
		h.enqueue(*rec)
	}
	if !allowed {
		if rapid.Bool().Draw(h.t, "the store is unavailable") {
			_ = h.ledger.Return(id, c.MaxTokens, true, h.now)
			return
		}
		h.confirm(len(h.unconfirmed), true)
	}
	h.grants = append(h.grants, modelGrant{h.ledger, id, program, c.MaxTokens})
}

// useGrant sends tokens of a grant and returns some or all of the rest to the ledger that gave it.
func (h *holders) useGrant() {
	if len(h.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.grants)-1).Draw(h.t, "grant")
	g := &h.grants[i]
	sent := min(g.tokens, rapid.SampledFrom([]int64{0, 40, modelTurnTokens, 10 * modelTurnTokens}).Draw(h.t, "sent"))
	h.handed[g.program] += sent
	g.tokens -= sent
	unused := min(g.tokens, rapid.SampledFrom([]int64{0, 30, 10 * modelTurnTokens}).Draw(h.t, "returned"))
	g.tokens -= unused
	if g.ledger == h.ledger && !h.closed {
		_ = h.ledger.Return(g.id, unused, g.tokens == 0, h.now)
	}
}

// TestBudgetHoldsWithGrants guards against programs that exceed their budget by more than one turn when another process
// sends their tokens, in any order of grants, returns, deaths, hand-overs and outages of the store.
func TestBudgetHoldsWithGrants(t *testing.T) {
	beyond := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHolders(t)
		h.budget = rapid.Int64Range(1, 24).Draw(t, "budget of grants") * modelTurnTokens
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { h.check() },
			"grant": func(*rapid.T) {
				h.grant(rapid.SampledFrom(modelPrograms).Draw(t, "program"))
			},
			"use": func(*rapid.T) { h.useGrant() },
			"turn": func(*rapid.T) {
				h.turn(rapid.SampledFrom(modelPrograms).Draw(t, "program"), false)
			},
			"confirm":           func(*rapid.T) { h.confirm(1, true) },
			"die":               func(*rapid.T) { h.open() },
			"orderly hand-over": func(*rapid.T) { h.handOver() },
			"expire": func(*rapid.T) {
				h.ledger.expireGrants(h.now.Add(2 * grantTTL))
			},
		})
		for _, g := range h.grants {
			h.handed[g.program] += g.tokens
		}
		for _, program := range modelPrograms {
			h.exhaust(program)
			if h.handed[program] > h.budget {
				beyond++
			}
		}
		h.check()
	})
	t.Logf("%d runs used a part of the turn beyond the budget", beyond)
}

// grantsInOutage grants and uses as many tokens as the holder gives without a further durable record. The store takes some
// of the records, and the holder dies.
func (h *holders) grantsInOutage(program Ref) {
	h.confirm(rapid.SampledFrom([]int{1, len(h.unconfirmed)}).Draw(h.t, "confirmed before"), true)
	before := h.handed[program]
	c := h.claim(program)
	c.TurnTokens = modelTurnTokens
	for range rapid.IntRange(1, 6).Draw(h.t, "grants") {
		if !h.ledger.Allowed(c, h.now) {
			break
		}
		_, rec, err := h.ledger.Grant(c, "peer", h.now)
		if err != nil {
			break
		}
		if rec != nil {
			h.enqueue(*rec)
		}
		h.handed[program] += c.MaxTokens
	}
	if h.handed[program] > before {
		h.deathsInOutage++
	}
	h.confirm(rapid.IntRange(0, 2).Draw(h.t, "records that the store took"), false)
	h.unconfirmed = nil
	h.open()
}

// exhaust uses all that is left of the budget, with every record confirmed.
func (h *holders) exhaust(program Ref) {
	if h.closed {
		return
	}
	for {
		h.confirm(len(h.unconfirmed), true)
		_, rec, err := h.ledger.Grant(h.claim(program), "peer", h.now)
		if err != nil {
			return
		}
		if rec != nil {
			h.enqueue(*rec)
		}
		h.handed[program] += modelTurnTokens
	}
}

// TestBudgetHoldsWithGrantsInOutages guards against programs that exceed their budget by more than one turn when holders
// die in several outages, before or after their first record was durable.
func TestBudgetHoldsWithGrantsInOutages(t *testing.T) {
	reached := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHolders(t)
		h.budget = rapid.Int64Range(1, 40).Draw(t, "budget of grants") * modelTurnTokens
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { h.check() },
			"confirmed grant": func(*rapid.T) {
				h.confirm(len(h.unconfirmed), true)
				h.grant(modelPrograms[0])
				h.confirm(len(h.unconfirmed), true)
				h.useGrant()
			},
			"use":                 func(*rapid.T) { h.useGrant() },
			"outage with a death": func(*rapid.T) { h.grantsInOutage(modelPrograms[0]) },
			"orderly hand-over":   func(*rapid.T) { h.handOver() },
		})
		h.exhaust(modelPrograms[0])
		h.check()
		if h.deathsInOutage > 1 {
			reached++
		}
	})
	if reached == 0 {
		t.Errorf("no run had two deaths with tokens that no record covered")
	}
}

// TestRepeatedRequestGetsTheSameGrant guards against a program whose budget is used up by repeats of a request whose answers
// were lost, and against a repeat that makes a program count as started.
func TestRepeatedRequestGetsTheSameGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New()
	l.Open(true, now)
	c := Claim{Program: Ref{"w", "p"}, Budget: 100, MaxTokens: 30, TurnTokens: 30, AccountTTL: time.Hour, Ask: "a1"}
	first, _, err := l.Grant(c, "g1", now)
	is.NoErr(err)
	again := c
	again.MaxTokens = 20 // Part of what was missing has been returned by other turns meanwhile.
	id, g, ok := l.GrantedBefore(again, "g1")
	is.True(ok)
	is.Equal(id, first)
	is.Equal(g.Tokens, int64(30))
	is.True(!g.Started)
	is.Equal(l.Account(c.Program).Reserved, int64(30))

	_, _, ok = l.GrantedBefore(c, "g2")
	is.True(!ok) // Another gateway.
	other := c
	other.Ask = ""
	_, _, ok = l.GrantedBefore(other, "g1")
	is.True(!ok) // An older version of the gateway, which does not say which request it repeats.
	other = c
	other.Program.ID = "q"
	_, _, ok = l.GrantedBefore(other, "g1")
	is.True(!ok)

	// The first request fails late, when the answer to its repeat may have been received.
	l.Withdraw(first, now)
	is.Equal(l.Account(c.Program).Reserved, int64(30))
	alone := c
	alone.Ask = "a2"
	second, _, err := l.Grant(alone, "g1", now)
	is.NoErr(err)
	is.Equal(l.Account(c.Program).Reserved, int64(60))
	l.Withdraw(second, now) // No repeat got it.
	is.Equal(l.Account(c.Program).Reserved, int64(30))
	_, _, ok = l.GrantedBefore(alone, "g1")
	is.True(!ok)

	is.NoErr(l.Return(first, 30, true, now))
	_, _, ok = l.GrantedBefore(c, "g1")
	is.True(!ok) // A closed grant is not given again.
	is.Equal(len(l.asks), 0)
}
