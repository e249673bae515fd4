package turns

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/state/store"
)

var start = time.Unix(1_700_000_000, 0)

func claim(budget, maxTokens int64) Claim {
	return Claim{Program: Ref{"shop", "p1"}, Budget: budget, MaxTokens: maxTokens, AccountTTL: time.Minute}
}

func turn(id, previous, input, output string) Turn {
	return Turn{
		Ref: Ref{"shop", id}, Program: "p1", Previous: previous, Input: []byte(input), Output: []byte(output),
		ExpiresAt: start.Add(time.Minute).UnixMilli(),
	}
}

// latestRecords is a log that keeps the newest record of each key.
type latestRecords map[string][]byte

func (n latestRecords) apply(rs ...store.Record) {
	for _, r := range rs {
		if len(r.Value) == 0 {
			delete(n, r.Key)
			continue
		}
		n[r.Key] = r.Value
	}
}

func (n latestRecords) restore(t *testing.T) *Ledger {
	t.Helper()
	l := New()
	for k, v := range n {
		if err := l.Restore(store.Record{Key: k, Value: v}, start); err != nil {
			t.Fatalf("restore %q: %v", k, err)
		}
	}
	l.FinishRestore()
	return l
}

func TestReserve(t *testing.T) {
	tests := []struct {
		name      string
		budget    int64
		spent     []int64
		maxTokens int64
		refused   bool
	}{
		{"the first turn fits", 100, nil, 100, false},
		{"a turn larger than the budget", 100, nil, 101, true},
		{"what is left holds the turn", 100, []int64{20, 30}, 50, false},
		{"what is left is one token short", 100, []int64{20, 31}, 50, true},
		{"no budget", 0, []int64{1_000_000}, 50, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := New()
			for _, n := range tt.spent {
				c := claim(0, n)
				_, err := l.Reserve(c, start)
				is.NoErr(err)
				l.Cancel(c, n)
			}
			_, err := l.Reserve(claim(tt.budget, tt.maxTokens), start)
			is.Equal(errors.Is(err, ErrBudgetExhausted), tt.refused)
		})
	}
}

// TestParallelTurnsShareBudget reserves five concurrent turns of one program; the budget covers only three.
func TestParallelTurnsShareBudget(t *testing.T) {
	is := is.New(t)
	l := New()
	admitted := 0
	for range 5 {
		if _, err := l.Reserve(claim(870, 290), start); err == nil {
			admitted++
		}
	}
	is.Equal(admitted, 3)
}

// TestBudgetHoldsOverTakeovers guards against a program exceeding its budget when the holder of its partition crashes
// at random moments. Records are durable before the tokens that they cover are sent; after a crash the ledger is
// restored from the records alone.
func TestBudgetHoldsOverTakeovers(t *testing.T) {
	const budget, maxTokens = 900, 100
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		log, l := latestRecords{}, New()
		handed := int64(0)
		for i := range 200 {
			c := claim(budget, maxTokens)
			rec, err := l.Reserve(c, start)
			if err != nil {
				break
			}
			if rec != nil {
				log.apply(*rec)
			}
			n := rng.Int64N(maxTokens + 1)
			handed += n
			switch rng.IntN(4) {
			case 0: // The holder crashes while the turn runs.
				l = log.restore(t)
			case 1: // The answer is incomplete.
				l.Cancel(c, n)
			case 2: // The holder crashes before the end of the turn is durable.
				l.Finish(c, turn(fmt.Sprint(i), "", "in", "out"), n, start)
				l = log.restore(t)
			default:
				log.apply(l.Finish(c, turn(fmt.Sprint(i), "", "in", "out"), n, start)...)
			}
		}
		if handed > budget {
			t.Fatalf("seed %d: %d tokens handed out of %d", seed, handed, budget)
		}
	}
}

func TestChainSurvivesTakeover(t *testing.T) {
	is := is.New(t)
	log, l := latestRecords{}, New()
	c := claim(0, 10)
	for _, tn := range []Turn{turn("a", "", "1", "x\n"), turn("b", "a", "2", "y\n"), turn("c", "a", "3", "z\n")} {
		_, err := l.Reserve(c, start)
		is.NoErr(err)
		log.apply(l.Finish(c, tn, 5, start)...)
	}
	for _, led := range []*Ledger{l, log.restore(t)} {
		chain, err := led.Chain(Ref{"shop", "b"})
		is.NoErr(err)
		is.Equal(string(Prompt(chain, []byte("new"))), "1x\n2y\nnew")
		chain, err = led.Chain(Ref{"shop", "c"})
		is.NoErr(err)
		is.Equal(string(Prompt(chain, nil)), "1x\n3z\n")
	}
}

func TestTurnsOfAnotherWorkspaceAreUnknown(t *testing.T) {
	is := is.New(t)
	l := New()
	c := claim(0, 10)
	_, err := l.Reserve(c, start)
	is.NoErr(err)
	l.Finish(c, turn("a", "", "1", "x\n"), 5, start)
	_, err = l.Chain(Ref{"rival", "a"})
	is.True(errors.Is(err, ErrUnknownTurn))
}

// TestExpireKeepsAChainAsLongAsItsLastTurn checks retention both before and after records are restored in random order.
func TestExpireKeepsAChainAsLongAsItsLastTurn(t *testing.T) {
	is := is.New(t)
	log, l := latestRecords{}, New()
	c := claim(0, 10)
	first, last := turn("a", "", "1", "x\n"), turn("b", "a", "2", "y\n")
	last.ExpiresAt = start.Add(3 * time.Minute).UnixMilli()
	for _, tn := range []Turn{first, last} {
		_, err := l.Reserve(c, start)
		is.NoErr(err)
		log.apply(l.Finish(c, tn, 5, start)...)
	}
	for _, led := range []*Ledger{l, log.restore(t)} {
		log.apply(led.Expire(start.Add(2 * time.Minute))...)
		_, err := led.Chain(Ref{"shop", "b"})
		is.NoErr(err)
		log.apply(led.Expire(start.Add(4 * time.Minute))...)
		turnCount, _ := led.Len()
		is.Equal(turnCount, 0)
	}
	is.Equal(len(log), 0)
}

func TestCorruptRecords(t *testing.T) {
	good := encodeTurn(turn("a", "", "input", "output"))
	tests := []struct {
		name string
		rec  store.Record
	}{
		{"no kind", store.Record{Key: "x", Value: []byte{1}}},
		{"unknown kind", store.Record{Key: "q/shop/a", Value: []byte{1}}},
		{"account that is not JSON", store.Record{Key: "p/shop/p1", Value: []byte("{")}},
		{"truncated turn", store.Record{Key: good.Key, Value: good.Value[:5]}},
		{"turn under another key", store.Record{Key: turnKey(turn("b", "", "", "")), Value: good.Value}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := New()
			is.True(l.Restore(tt.rec, start) != nil)
			turnCount, programs := l.Len()
			is.Equal(turnCount+programs, 0)
		})
	}
}

func FuzzRestore(f *testing.F) {
	r := encodeTurn(turn("a", "", "input", "output"))
	f.Add(r.Key, r.Value)
	f.Add("p/shop/p1", []byte(`{"ceiling":5}`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		l := New()
		if l.Restore(store.Record{Key: key, Value: value}, start) == nil {
			l.FinishRestore()
		}
	})
}

func TestNamesWithSlashes(t *testing.T) {
	is := is.New(t)
	log, l := latestRecords{}, New()
	c := Claim{Program: Ref{"a/b", "p/1"}, MaxTokens: 10}
	_, err := l.Reserve(c, start)
	is.NoErr(err)
	log.apply(l.Finish(c, Turn{Ref: Ref{"a/b", "t/1"}, Input: []byte("in"), ExpiresAt: start.UnixMilli()}, 5, start)...)
	chain, err := log.restore(t).Chain(Ref{"a/b", "t/1"})
	is.NoErr(err)
	is.Equal(len(chain), 1)
}

// TestRecordKeyOrder checks that keys sort accounts before turns and newer turns before older ones.
func TestRecordKeyOrder(t *testing.T) {
	is := is.New(t)
	older, newer := turn("z", "", "1", "x\n"), turn("a", "z", "2", "y\n")
	newer.ExpiresAt = older.ExpiresAt + 1
	recs := []store.Record{
		encodeTurn(older), encodeTurn(newer), encodeAccount(Ref{"zoo", "p"}, Account{Ceiling: 1}), Marker(),
	}
	slices.SortFunc(recs, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	var ids []string
	for _, r := range recs {
		_, ref, err := parseKey(r.Key)
		is.NoErr(err)
		ids = append(ids, ref.ID)
	}
	is.Equal(ids, []string{"", "p", "a", "z"})
}

// TestRestoreKeepsNewerState guards against a repeated record that resets an account while turns are running.
func TestRestoreKeepsNewerState(t *testing.T) {
	is := is.New(t)
	l := New()
	c := claim(300, 100)
	old := encodeAccount(c.Program, Account{Ceiling: 100, ExpiresAt: start.UnixMilli()})
	is.NoErr(l.Restore(old, start))
	_, err := l.Reserve(c, start)
	is.NoErr(err)
	is.NoErr(l.Restore(old, start)) // A page that was read in part is read again.
	_, err = l.Reserve(c, start)
	is.NoErr(err)
	_, err = l.Reserve(c, start)
	is.True(errors.Is(err, ErrBudgetExhausted))
}

func TestRefFits(t *testing.T) {
	tests := []struct {
		name string
		ref  Ref
		fits bool
	}{
		{"usual", Ref{"shop", "9c41d07be2a35f68"}, true},
		{"longest", Ref{"shop", strings.Repeat("x", maxNameBytes-5)}, true},
		{"one more", Ref{"shop", strings.Repeat("x", maxNameBytes-4)}, false},
		{"workspace that grows when it is escaped", Ref{strings.Repeat("/", 70), "a"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.ref.FitsKey(), tt.fits)
			tn := turn(tt.ref.ID, "", "", "")
			tn.Ref = tt.ref
			if tt.fits {
				is.True(len(turnKey(tn)) <= 255)
			}
		})
	}
}

// TestUnrecordedTurnsReserveAhead checks that a program whose history is not kept needs fewer records than turns, and
// that its budget still holds across takeovers at random moments.
func TestUnrecordedTurnsReserveAhead(t *testing.T) {
	const budget, maxTokens = 10_000, 100
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 3))
		log, l := latestRecords{}, New()
		handed, records, begun := int64(0), 0, 0
		for range 40 {
			c := Claim{Program: Ref{"shop", "p1"}, Budget: budget, MaxTokens: maxTokens, AccountTTL: time.Minute}
			covered := l.Covered(c)
			rec, err := l.Reserve(c, start)
			if err != nil {
				break
			}
			if covered != (rec == nil) {
				t.Fatalf("seed %d: covered %v, record %v", seed, covered, rec)
			}
			begun++
			if rec != nil {
				log.apply(*rec)
				records++
			}
			n := rng.Int64N(maxTokens + 1)
			handed += n
			if rng.IntN(20) == 0 {
				l = log.restore(t)
				continue
			}
			l.Cancel(c, n)
		}
		if handed > budget {
			t.Fatalf("seed %d: %d tokens handed out of %d", seed, handed, budget)
		}
		if begun > 30 && records*2 > begun+6 {
			t.Fatalf("seed %d: %d records for %d turns", seed, records, begun)
		}
	}
}

// TestCoveredTurnsRunDuringStoreOutage checks that covered turns need no new records, so that they can run while the
// store is unavailable, and that at least half of the budget that was left remains after a takeover.
func TestCoveredTurnsRunDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	log, l := latestRecords{}, New()
	c := Claim{Program: Ref{"shop", "p1"}, Budget: 1000, MaxTokens: 100, AccountTTL: time.Minute}
	rec, err := l.Reserve(c, start)
	is.NoErr(err)
	log.apply(*rec)
	l.Cancel(c, 50)
	covered := 0
	for ; l.Covered(c); covered++ {
		_, err := l.Reserve(c, start)
		is.NoErr(err)
		l.Cancel(c, 50)
	}
	is.True(covered >= 2)
	after := log.restore(t)
	is.True(after.Account(c.Program).Spent >= int64(50*(covered+1)))
	is.True(after.Account(c.Program).Spent <= 550)
}
