package prog

import "encoding/json"

// Record is one record of a holder's log stream. Exactly one of its pointers is set.
type Record struct {
	// Root is the root program of the tree that the record belongs to.
	Root string `json:"root"`
	// Epoch is the epoch of the writer. A record whose epoch is not the tree's is ignored. Claim and HolderPointer
	// carry the epoch that they begin.
	Epoch         int64          `json:"epoch"`
	Open          *Open          `json:"open,omitempty"`
	Turn          *Turn          `json:"turn,omitempty"`
	Grant         *Grant         `json:"grant,omitempty"`
	Intent        *Intent        `json:"intent,omitempty"`
	Outcome       *Outcome       `json:"outcome,omitempty"`
	End           *End           `json:"end,omitempty"`
	Claim         *Claim         `json:"claim,omitempty"`
	HolderPointer *HolderPointer `json:"moved,omitempty"`
	Checkpoint    *Checkpoint    `json:"checkpoint,omitempty"`
}

// Open creates a program in the tree.
type Open struct {
	Program   string `json:"program"`
	Parent    string `json:"parent,omitempty"`
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	// Budget and Granted are in tokens and set for the root only.
	Budget  int64 `json:"budget,omitempty"`
	Granted int64 `json:"granted,omitempty"`
	// Holder is the instance that opened the tree; set for the root only.
	Holder string `json:"holder,omitempty"`
}

// Turn is a finished model call.
type Turn struct {
	Program string `json:"program"`
	// Number is the turn's number within its program, starting at one without gaps.
	Number int `json:"number"`
	// Messages are the caller's messages of this turn followed by the response.
	Messages []Message `json:"messages"`
	// TokensUsed is the number of tokens used, prompt and response together.
	TokensUsed int64 `json:"cost"`
	// ContextTokens is the number of tokens in the history after this turn, as counted by the engine.
	ContextTokens int64 `json:"context"`
	// Key is the caller's idempotency key, if any.
	Key    string `json:"key,omitempty"`
	Digest string `json:"digest,omitempty"`
	// Response is the chat completion as JSON.
	Response json.RawMessage `json:"answer"`
}

// Grant raises the number of tokens that the holder may spend. Granted is the new total of the tree.
type Grant struct {
	Granted int64 `json:"granted"`
}

// Intent records a non-idempotent call before it is sent.
type Intent struct {
	Program string `json:"program"`
	Key     string `json:"key"`
	// Attempt counts from one; none of the earlier attempts was run.
	Attempt int    `json:"attempt"`
	Service string `json:"service"`
	Digest  string `json:"digest"`
}

// Outcome records the result of the call that an Intent recorded.
type Outcome struct {
	Program string `json:"program"`
	Key     string `json:"key"`
	Attempt int    `json:"attempt"`
	// State is StateDone, StateNotRun or StateUnknown.
	State  CallState `json:"state"`
	Status int       `json:"status,omitempty"`
	Body   string    `json:"body,omitempty"`
}

// End ends a program and all of its descendants.
type End struct {
	Program string `json:"program"`
}

// Claim makes another instance the holder. It is written to the current holder's stream.
type Claim struct {
	Holder string `json:"holder"`
}

// HolderPointer names the holder of an epoch. It is written to the first holder's stream, so that readers find the
// holder after the claim itself has passed out of retention.
type HolderPointer struct {
	Holder string `json:"holder"`
}

// Checkpoint is a snapshot of the whole tree, written by its holder.
type Checkpoint struct {
	Tree *Tree `json:"tree"`
}
