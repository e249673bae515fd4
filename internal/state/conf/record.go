package conf

// Record is one record of the settings stream. Exactly one of its pointers is set.
type Record struct {
	// ID is unique. A second record with the same ID has no effect.
	ID         string      `json:"id"`
	Change     *Change     `json:"change,omitempty"`
	Workspace  *Workspace  `json:"workspace,omitempty"`
	Key        *Key        `json:"key,omitempty"`
	Withdrawal *Withdrawal `json:"withdraw,omitempty"`
	Order      *Order      `json:"order,omitempty"`
	Slot       *Slot       `json:"slot,omitempty"`
	Snapshot   *State      `json:"snapshot,omitempty"`
}

// Value sets one setting of a branch, or clears it if Value is nil.
type Value struct {
	Name string `json:"name"`
	// Value is nil to inherit the value of the parent branch.
	Value *float64 `json:"value,omitempty"`
}

// Change sets or clears settings of one branch.
type Change struct {
	// Version is the state's version after the change; zero until the change is accepted.
	Version int64  `json:"version,omitempty"`
	Branch  string `json:"branch"`
	// BaseVersion is the version of the state on which the author based the change.
	BaseVersion int64   `json:"base"`
	Values      []Value `json:"values"`
	Author      string  `json:"author"`
	TimeMS      int64   `json:"time_ms"`
	// PreviousValues holds, for each setting in Values, the value that was set on the branch itself before the change.
	// It is set when the change is accepted.
	PreviousValues []Value `json:"before,omitempty"`
}

// Workspace assigns a workspace to a branch of the settings tree.
type Workspace struct {
	Name   string `json:"name"`
	Branch string `json:"branch"`
}

// Key is a caller's API key. Only the digest of its secret is stored.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Digest is the hex SHA-256 of the secret.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Withdrawal revokes a key.
type Withdrawal struct {
	Key string `json:"key"`
}

// Order tells the engine of one VM to change what it serves. Its fencing token comes from its position in the log, so a
// later order has a higher token.
type Order struct {
	VM      string `json:"vm"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
	// FencingToken is the fencing token; zero until the order is accepted.
	FencingToken int64 `json:"fence,omitempty"`
}

// Slot is a lease on a share of the rate limit of every workspace.
type Slot struct {
	Number int64  `json:"number"`
	Holder string `json:"holder"`
	// Previous is the holder that this record replaces. The record has no effect if the slot has another holder.
	Previous string `json:"previous"`
	// SeenRenewals is the last renewal count that a new holder saw. Its claim has no effect if the lease was renewed
	// since.
	SeenRenewals int64 `json:"seen"`
	// LeaseMS is the duration of the lease in milliseconds, starting at this record.
	LeaseMS int64 `json:"lease_ms"`
	// Renewals is the number of records applied to the slot, whether claims or renewals. It is set when applied.
	Renewals int64 `json:"renewal,omitempty"`
}
