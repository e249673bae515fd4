package peer

import "galenaward.example/galenaward/internal/state/prog"

// CallRequest asks the home of a program to make the program's next call. A request with the same ID as an earlier one
// joins that one's stream.
type CallRequest struct {
	ID        string `json:"id"`
	Program   string `json:"program"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// IdempotencyKey is the caller's idempotency key; empty for none.
	IdempotencyKey  string        `json:"idempotency_key,omitempty"`
	SettingsVersion int64         `json:"settings_version"`
	SettingsPeer    string        `json:"settings_peer,omitempty"`
	Crashes         []CrashRecord `json:"crashes,omitempty"`
	Model           *ModelCall    `json:"model,omitempty"`
	Service         *ServiceCall  `json:"service,omitempty"`
	// Turn is the turn number that the caller expects; zero for the next turn.
	Turn int `json:"turn,omitempty"`
	// FullHistory reports whether Model.Messages start with the program's history.
	FullHistory bool `json:"full,omitempty"`
	Location
	// Candidates are the sidecars that may run the call, best first.
	Candidates []Candidate `json:"candidates"`
}

// Location tells a sidecar which instance held a program before and which standbys hold its records.
type Location struct {
	// Suspect is the instance that the entry considers dead. The receiver may take the program over from it.
	Suspect string `json:"suspect,omitempty"`
	// EarlierStandbys are the sidecars that may hold records for the suspect from a time when the log was unavailable.
	// There are several, since entries know different sets of sidecars and may have chosen different standbys.
	EarlierStandbys []string `json:"earlier_standbys,omitempty"`
	// Standby is the sidecar that holds records while the log is unavailable.
	Standby string `json:"standby,omitempty"`
}

// Candidate is a sidecar that can run a request.
type Candidate struct {
	VM       string `json:"vm"`
	Instance string `json:"instance"`
	// Address is the IP address and port of the candidate's peer interface.
	Address string `json:"address"`
}

// OpenRequest asks a sidecar to be the home of a new program.
type OpenRequest struct {
	Program, Workspace, Model, Parent string
	Budget                            int64
}

// ProgramView is the part of a program's state that callers may see.
type ProgramView struct {
	Program prog.Program `json:"program"`
	// Budget is the token budget of the program's tree, and Spent the number of tokens used or possibly used of it.
	Budget int64 `json:"budget"`
	Spent  int64 `json:"spent"`
	// Epoch is the epoch of the holder's claim, and Holder the instance that holds the program.
	Epoch  int64  `json:"epoch"`
	Holder string `json:"holder"`
}
