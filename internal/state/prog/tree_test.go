package prog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// referenceTree is a reference model of Tree. It stores all records and computes each result from all of them.
type referenceTree struct{ records []Record }

// effectiveRecords returns the records whose epoch was the tree's epoch at their position in the log.
func (n referenceTree) effectiveRecords() []Record {
	var out []Record
	epoch := int64(0)
	for _, r := range n.records {
		switch {
		case r.Open != nil && r.Open.Parent == "" && epoch == 0 && r.Epoch == FirstEpoch:
			epoch = FirstEpoch
		case r.Claim != nil && epoch > 0 && r.Epoch == epoch+1:
			epoch++
			continue
		case r.Claim != nil || epoch == 0 || r.Epoch != epoch:
			continue
		}
		out = append(out, r)
	}
	return out
}

func (n referenceTree) turns(program string) []int {
	var out []int
	opened := false
	for _, r := range n.effectiveRecords() {
		opened = opened || (r.Open != nil && r.Open.Program == program)
		if opened && r.Turn != nil && r.Turn.Program == program && r.Turn.Number == len(out)+1 {
			out = append(out, r.Turn.Number)
		}
	}
	return out
}

func (n referenceTree) granted() int64 {
	var g, budget int64
	for _, r := range n.effectiveRecords() {
		if r.Open != nil && r.Open.Parent == "" && budget == 0 {
			budget, g = r.Open.Budget, min(r.Open.Granted, r.Open.Budget)
		}
		if r.Grant != nil {
			g = max(g, min(budget, r.Grant.Granted))
		}
	}
	return g
}

// callState returns the state and the attempt of the call with the key.
func (n referenceTree) callState(program, key string) (CallState, int) {
	state, attempt, opened := CallState(""), 0, false
	for _, r := range n.effectiveRecords() {
		opened = opened || (r.Open != nil && r.Open.Program == program)
		if !opened {
			continue
		}
		if in := r.Intent; in != nil && in.Program == program && in.Key == key {
			if state == "" || (state == StateNotRun && in.Attempt == attempt+1) {
				state, attempt = StateIntent, in.Attempt
			}
		}
		if o := r.Outcome; o != nil && o.Program == program && o.Key == key && state == StateIntent && o.Attempt == attempt {
			state = o.State
		}
	}
	return state, attempt
}

func drawRecord(t *rapid.T) Record {
	programs := []string{"x.1~r", "x.1~r~a", "x.1~r~b"}
	p := rapid.SampledFrom(programs).Draw(t, "program")
	r := Record{Root: programs[0], Epoch: rapid.Int64Range(1, 3).Draw(t, "epoch")}
	key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
	attempt := rapid.IntRange(1, 3).Draw(t, "attempt")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		r.Open = &Open{Program: p, Workspace: "w", Budget: 100, Granted: 10, Holder: "x.1"}
		if p != programs[0] {
			r.Open.Parent = programs[0]
		}
	case 1, 2:
		n := rapid.IntRange(1, 4).Draw(t, "number")
		r.Turn = &Turn{Program: p, Number: n, Messages: []Message{NewTextMessage("user", fmt.Sprint(n))}}
	case 3:
		r.Grant = &Grant{Granted: rapid.Int64Range(0, 150).Draw(t, "granted")}
	case 4:
		r.Intent = &Intent{Program: p, Key: key, Attempt: attempt}
	case 5:
		state := rapid.SampledFrom([]CallState{StateDone, StateNotRun, StateUnknown}).Draw(t, "state")
		r.Outcome = &Outcome{Program: p, Key: key, Attempt: attempt, State: state}
	case 6:
		r.Claim = &Claim{Holder: "y.1"}
	case 7:
		r.Open = &Open{Program: programs[0], Workspace: "w", Budget: 100, Granted: 10, Holder: "x.1"}
		r.Epoch = 1
	}
	return r
}

func TestTreeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n referenceTree
		var tree Tree
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			r := drawRecord(t)
			if rapid.IntRange(0, 4).Draw(t, "double") == 0 {
				n.records = append(n.records, r)
				tree = tree.Apply(r)
			}
			n.records = append(n.records, r)
			tree = tree.Apply(r)
		}
		if tree.Granted != n.granted() {
			t.Fatalf("granted %d, reference model %d", tree.Granted, n.granted())
		}
		for id, p := range tree.Programs {
			if got := n.turns(id); p.Turns != len(got) {
				t.Fatalf("program %s has %d turns, reference model %d", id, p.Turns, len(got))
			}
			for _, c := range p.Calls {
				if s, a := n.callState(id, c.Key); s != c.State || a != c.Attempt {
					t.Fatalf("key %s has state %s and attempt %d, reference model %s and %d", c.Key, c.State, c.Attempt, s, a)
				}
			}
		}
	})
}

func TestHistoryDigestDetectsMissingAndReorderedTurns(t *testing.T) {
	is := is.New(t)
	a := Turn{Number: 1, Messages: []Message{NewTextMessage("user", "a"), NewTextMessage("assistant", "b")}}
	b := Turn{Number: 2, Messages: []Message{NewTextMessage("user", "c"), NewTextMessage("assistant", "d")}}
	whole := Program{}.WithTurn(a).WithTurn(b).Digest
	is.True(whole != Program{}.WithTurn(b).Digest)
	is.True(whole != Program{}.WithTurn(b).WithTurn(a).Digest)
	is.Equal(whole, Program{}.WithTurn(a).WithTurn(b).Digest)
}

// TestModelCallsStayWithinBudget makes random calls from sub-agents, with random retries and takeovers. The tokens used
// by engines must never exceed the budget, and the tokens spent and reserved must never exceed the recorded grant: a
// holder that takes over counts only the grant as spent, so anything beyond it would be spent twice.
func TestModelCallsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 5000
		open := Record{Root: "x.1~r", Epoch: 1, Open: &Open{
			Program: "x.1~r", Workspace: "w", Budget: budget, Granted: 500, Holder: "x.1",
		}}
		lt := NewLiveTree(Tree{}.Apply(open), "x")
		for _, k := range []string{"a", "b"} {
			r, f := lt.OpenChild("x.1~r", "w", "x.1~r~"+k, "m")
			if f != nil {
				t.Fatal(f)
			}
			lt = lt.WithRecord(r)
		}
		ids := slices.Sorted(func(yield func(string) bool) {
			for id := range lt.Tree.Programs {
				if !yield(id) {
					return
				}
			}
		})
		needs := make(map[string]int64)
		var used int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "program")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				lt = NewLiveTreeAfterTakeover(lt.Tree, "y") // Running calls continue on their engines.
				clear(needs)
			case 1, 2, 3:
				text := NewTextMessage("user", string(make([]byte, rapid.IntRange(1, 200).Draw(t, "bytes"))))
				n, plan, f := lt.BeginModelCall(
					ModelCall{ID: "c", Program: id, Workspace: "w", Messages: []Message{text}},
					Limits{MaxTurns: 1000, MaxOutput: 400, GrantChunk: 300},
				)
				if f != nil {
					continue
				}
				lt = n
				if plan.GrantTotal > 0 {
					lt = lt.WithRecord(Record{Root: "x.1~r", Epoch: 1, Grant: &Grant{Granted: plan.GrantTotal}})
				}
				needs[id] = plan.ReservedTokens
				used += plan.ReservedTokens // The engine may use all of it, even if a takeover ends the wait for it.
			case 4: // The run was interrupted and the call is retried on another engine.
				need, ok := needs[id]
				if !ok {
					continue
				}
				if n, ok := lt.ReserveRetry(need); ok {
					lt = n
					used += need
					needs[id] += need
				}
			default:
				need, ok := needs[id]
				if !ok {
					continue
				}
				cost := rapid.Int64Range(0, need).Draw(t, "cost")
				used -= need - cost
				lt = lt.FinishCall(id, need, cost)
				delete(needs, id)
			}
			if used > budget || lt.Spent+lt.Reserved > lt.Tree.Granted {
				t.Fatalf("used %d of budget %d; spent %d, reserved %d, granted %d",
					used, budget, lt.Spent, lt.Reserved, lt.Tree.Granted)
			}
		}
	})
}

func TestRepeatedServiceCallByKey(t *testing.T) {
	open := Record{Root: "x.1~r", Epoch: 1, Open: &Open{
		Program: "x.1~r", Workspace: "w", Budget: 1e6, Granted: 1e6, Holder: "x.1",
	}}
	base := NewLiveTree(Tree{}.Apply(open), "x")
	intent := Record{Root: "x.1~r", Epoch: 1, Intent: &Intent{Program: "x.1~r", Key: "k", Attempt: 1, Digest: "d"}}
	outcome := func(s CallState) Record {
		return Record{Root: "x.1~r", Epoch: 1, Outcome: &Outcome{Program: "x.1~r", Key: "k", Attempt: 1, State: s, Body: "b"}}
	}
	tests := []struct {
		name    string
		live    LiveTree
		digest  string
		code    string
		replay  bool
		attempt int
	}{
		{"first", base, "d", "", false, 1},
		{"intent only", base.WithRecord(intent), "d", "outcome_unknown", false, 0},
		{"done", base.WithRecord(intent).WithRecord(outcome(StateDone)), "d", "", true, 0},
		{
			"done, another body", base.WithRecord(intent).WithRecord(outcome(StateDone)), "e",
			"idempotency_key_reused", false, 0,
		},
		{"not run", base.WithRecord(intent).WithRecord(outcome(StateNotRun)), "d", "", false, 2},
		{"unknown", base.WithRecord(intent).WithRecord(outcome(StateUnknown)), "d", "outcome_unknown", false, 0},
		{
			"taken over with an intent", NewLiveTreeAfterTakeover(base.WithRecord(intent).Tree, "y"), "d",
			"outcome_unknown", false, 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, plan, f := tt.live.BeginServiceCall(ServiceCall{
				ID: "c", Program: "x.1~r", Workspace: "w", Key: "k", Digest: tt.digest,
			})
			code := ""
			if f != nil {
				code = string(f.Code)
			}
			is.Equal(code, tt.code)
			is.Equal(plan.Replay != nil, tt.replay)
			is.Equal(plan.Intent.Attempt, tt.attempt)
		})
	}
}
