package turns

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenaward.example/galenaward/internal/state/store"
)

// holders models the holders of a partition one after another, with a store that confirms records late, and counts the
// tokens that callers received.
type holders struct {
	t      *rapid.T
	budget int64
	now    time.Time
	log    latestRecords
	ledger *Ledger
	// unconfirmed holds the batches that the store has not taken yet, oldest first.
	unconfirmed [][]store.Record
	handed      map[Ref]int64
	closed      bool
}

const modelTurnTokens = 100

func (h *holders) claim(program Ref) Claim {
	return Claim{Program: program, Budget: h.budget, MaxTokens: modelTurnTokens, AccountTTL: unrecordedTTL}
}

func (h *holders) enqueue(records ...store.Record) { h.unconfirmed = append(h.unconfirmed, records) }

// confirm makes the oldest batches durable. The holder hears of it unless it died before.
func (h *holders) confirm(batches int, heard bool) {
	for range min(batches, len(h.unconfirmed)) {
		h.log.apply(h.unconfirmed[0]...)
		if heard {
			h.ledger.Confirm(h.unconfirmed[0])
		}
		h.unconfirmed = h.unconfirmed[1:]
	}
}

// open starts the next holder from the records alone. The store takes all or some of what the last one had queued.
func (h *holders) open() {
	arrive := rapid.SampledFrom([]int{0, 1, len(h.unconfirmed)}).Draw(h.t, "batches that arrive")
	h.confirm(arrive, false)
	h.unconfirmed, h.closed = nil, false
	h.ledger = New()
	for k, v := range h.log {
		if err := h.ledger.Restore(store.Record{Key: k, Value: v}, start); err != nil {
			h.t.Fatalf("restore %q: %v", k, err)
		}
	}
	h.enqueue(h.ledger.Open(len(h.log) == 0, h.now))
}

// turn runs a turn of a program and sends it some of its tokens, if they may be sent now.
func (h *holders) turn(program Ref, recorded bool) {
	if h.closed {
		return
	}
	c := h.claim(program)
	c.Recorded = recorded
	allowed := h.ledger.Allowed(c, h.now)
	rec, err := h.ledger.Reserve(c, h.now)
	if err != nil {
		return
	}
	if rec != nil {
		h.enqueue(*rec)
	}
	if !allowed && rapid.Bool().Draw(h.t, "the store answers in time") {
		h.confirm(len(h.unconfirmed), true)
		allowed = true
	}
	tokens := int64(0)
	if allowed {
		tokens = rapid.SampledFrom([]int64{0, 40, modelTurnTokens, modelTurnTokens}).Draw(h.t, "tokens")
	}
	h.handed[program] += tokens
	switch rapid.IntRange(0, 3).Draw(h.t, "end") {
	case 0: // It still runs when the partition is closed or the holder dies.
	case 1:
		h.ledger.Cancel(c, tokens)
	default:
		if recorded && allowed {
			h.enqueue(h.ledger.Finish(c, turn("t", "", "in", "out"), tokens, h.now)...)
			return
		}
		h.ledger.Cancel(c, tokens)
	}
}

func (h *holders) check() {
	for program, tokens := range h.handed {
		if tokens > h.budget+modelTurnTokens {
			h.t.Fatalf("program %q was handed %d tokens of %d", program.ID, tokens, h.budget)
		}
	}
}

// TestBudgetHoldsOverEveryDeath guards against programs that exceed their budget by more than one turn when holders die
// during outages of the store, two in a row and with hand-overs between, or while a hand-over is recorded.
func TestBudgetHoldsOverEveryDeath(t *testing.T) {
	programs := []Ref{{"shop", "p1"}, {"shop", "p2"}}
	rapid.Check(t, func(t *rapid.T) {
		h := &holders{
			t: t, budget: rapid.Int64Range(1, 4).Draw(t, "budget") * modelTurnTokens, now: start, log: latestRecords{},
			handed: make(map[Ref]int64),
		}
		h.open()
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { h.check() },
			"turn": func(*rapid.T) {
				h.turn(rapid.SampledFrom(programs).Draw(t, "program"), rapid.Bool().Draw(t, "recorded"))
			},
			"confirm": func(*rapid.T) { h.confirm(1, true) },
			"die":     func(*rapid.T) { h.open() },
			"close": func(*rapid.T) {
				if !h.closed {
					h.enqueue(h.ledger.Close()...)
					h.closed = true
				}
			},
			"reopen": func(*rapid.T) {
				if h.closed {
					h.enqueue(h.ledger.Reopen())
					h.closed = false
				}
			},
		})
	})
}

// TestOutageWithNewPrograms covers programs that begin while the store is away, and guards against turns that wait for
// it only because of their budget.
func TestOutageWithNewPrograms(t *testing.T) {
	is := is.New(t)
	c := Claim{Program: Ref{"shop", "p1"}, Budget: 1000, MaxTokens: 100, AccountTTL: time.Minute}
	l := New()
	opening := l.Open(true, start)
	is.True(!l.Allowed(c, start)) // The store may still say that nothing is used without a record.
	l.Confirm([]store.Record{opening})
	is.True(l.Allowed(c, start))
	rec, err := l.Reserve(c, start)
	is.NoErr(err)
	is.True(!l.Allowed(c, start)) // The second turn waits for the record of the first.
	l.Confirm([]store.Record{*rec})
	is.True(l.Allowed(c, start))
}

// TestHandOverKeepsBudgets guards against programs that are told that their budget is spent after a hand-over, since
// the ceiling of their record counted as spent.
func TestHandOverKeepsBudgets(t *testing.T) {
	is := is.New(t)
	log, l := latestRecords{}, New()
	log.apply(l.Open(true, start))
	c := Claim{Program: Ref{"shop", "p1"}, Budget: 1000, MaxTokens: 100, AccountTTL: time.Minute}
	rec, err := l.Reserve(c, start)
	is.NoErr(err)
	log.apply(*rec)
	l.Cancel(c, 30)
	log.apply(l.Close()...)
	next := log.restore(t)
	next.Open(false, start)
	is.Equal(next.Account(c.Program).Spent, int64(30))
	is.True(!next.Account(c.Program).Uncertain)
	is.True(!next.account(Ref{"shop", "new"}, start).Uncertain)

	dead := log.restore(t)
	log.apply(dead.Open(false, start)) // This holder dies without closing.
	after := log.restore(t)
	after.Open(false, start)
	is.True(after.Account(c.Program).Uncertain)
	is.True(after.account(Ref{"shop", "new"}, start).Uncertain)
	is.True(!after.account(Ref{"shop", "new"}, start.Add(unrecordedTTL)).Uncertain)
}

// TestAccountStaysWhileItsRecordsAreUnconfirmed guards against a record of an expired account that is confirmed late, in
// an outage longer than the retention, and counts towards the program's next account.
func TestAccountStaysWhileItsRecordsAreUnconfirmed(t *testing.T) {
	is := is.New(t)
	c := Claim{Program: Ref{"shop", "p1"}, Budget: 1000, MaxTokens: 100, AccountTTL: time.Minute}
	l := New()
	rec, err := l.Reserve(c, start)
	is.NoErr(err)
	l.Cancel(c, 100)
	is.Equal(len(l.Expire(start.Add(time.Hour))), 0)
	l.Confirm([]store.Record{*rec})
	is.Equal(len(l.Expire(start.Add(time.Hour))), 1)
}
