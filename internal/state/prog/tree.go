// Package prog defines programs and the rules for their call order, history, token budget and non-idempotent calls.
// A root program and its sub-agents form a tree, whose state is a fold over the records in the platform's log:
//
//	tree = tree.Apply(record)
//
// The methods of LiveTree decide whether and how a call runs. A LiveTree adds to the tree the calls that are in flight
// and have no record yet.
package prog

import "maps"

// FirstEpoch is the epoch of a tree's first holder.
const FirstEpoch = 1

// Tree is a root program with its sub-agents. It is immutable; Apply returns a new value.
type Tree struct {
	Root string `json:"root"`
	// Epoch is incremented by every claim. Records of other epochs are ignored.
	Epoch int64 `json:"epoch"`
	// Holder is the only instance that may run calls of the tree.
	Holder string `json:"holder"`
	// Budget is the number of tokens that the whole tree may spend.
	Budget int64 `json:"budget"`
	// Granted is the part of Budget that the recorded grants allow the holder to spend. It never decreases and never
	// exceeds Budget.
	Granted  int64              `json:"granted"`
	Programs map[string]Program `json:"programs"`
}

// Apply returns the tree with the record applied. Repeated records and records of other epochs have no effect, except
// that a Claim begins the next epoch and a Checkpoint of a later epoch replaces the tree.
func (t Tree) Apply(r Record) Tree {
	switch {
	case r.Checkpoint != nil:
		return t.applyCheckpoint(r)
	case r.Claim != nil:
		return t.applyClaim(r)
	case r.HolderPointer != nil:
		return t
	case r.Open != nil:
		return t.applyOpen(r)
	}
	if r.Epoch != t.Epoch || t.Root == "" {
		return t
	}
	return t.applyInEpoch(r)
}

func (t Tree) applyInEpoch(r Record) Tree {
	switch {
	case r.Turn != nil:
		return t.applyTurn(*r.Turn)
	case r.Grant != nil:
		t.Granted = min(t.Budget, max(t.Granted, r.Grant.Granted))
	case r.Intent != nil:
		return t.applyIntent(*r.Intent)
	case r.Outcome != nil:
		return t.applyOutcome(*r.Outcome)
	case r.End != nil:
		return t.applyEnd(r.End.Program)
	}
	return t
}

func (t Tree) applyCheckpoint(r Record) Tree {
	c := r.Checkpoint.Tree
	if c == nil || r.Epoch != c.Epoch || c.Epoch < t.Epoch {
		return t
	}
	if t.Root != "" && c.Epoch == t.Epoch {
		return t
	}
	return *c
}

func (t Tree) applyClaim(r Record) Tree {
	if t.Root == "" || r.Epoch != t.Epoch+1 {
		return t
	}
	t.Epoch = r.Epoch
	t.Holder = r.Claim.Holder
	return t
}

func (t Tree) applyOpen(r Record) Tree {
	o := r.Open
	if t.Root == "" && o.Parent == "" && r.Epoch == FirstEpoch {
		t = Tree{Root: r.Root, Epoch: FirstEpoch, Holder: o.Holder, Budget: o.Budget, Granted: min(o.Granted, o.Budget)}
	}
	if r.Epoch != t.Epoch || t.Root == "" {
		return t
	}
	if _, ok := t.Programs[o.Program]; ok {
		return t
	}
	return t.withProgram(Program{ID: o.Program, Parent: o.Parent, Workspace: o.Workspace, Model: o.Model})
}

func (t Tree) applyTurn(n Turn) Tree {
	p, ok := t.Programs[n.Program]
	if !ok || n.Number != p.Turns+1 {
		return t
	}
	return t.withProgram(p.WithTurn(n))
}

func (t Tree) applyIntent(i Intent) Tree {
	p, ok := t.Programs[i.Program]
	if !ok {
		return t
	}
	c, seen := p.Call(i.Key)
	if seen && (c.State != StateNotRun || i.Attempt != c.Attempt+1) {
		return t
	}
	return t.withProgram(p.WithCall(Call{Key: i.Key, Digest: i.Digest, State: StateIntent, Attempt: i.Attempt}))
}

func (t Tree) applyOutcome(o Outcome) Tree {
	p, ok := t.Programs[o.Program]
	if !ok {
		return t
	}
	c, seen := p.Call(o.Key)
	if !seen || c.State != StateIntent || c.Attempt != o.Attempt {
		return t
	}
	c.State, c.Status, c.Body = o.State, o.Status, o.Body
	return t.withProgram(p.WithCall(c))
}

func (t Tree) applyEnd(id string) Tree {
	p, ok := t.Programs[id]
	if !ok {
		return t
	}
	p.Ended = true
	t = t.withProgram(p)
	for _, c := range t.Programs {
		if c.Parent == id && !c.Ended {
			t = t.applyEnd(c.ID)
		}
	}
	return t
}

func (t Tree) withProgram(p Program) Tree {
	m := make(map[string]Program, len(t.Programs)+1)
	maps.Copy(m, t.Programs)
	m[p.ID] = p
	t.Programs = m
	return t
}

// Ended reports whether the root has ended.
func (t Tree) Ended() bool { return t.Programs[t.Root].Ended }
