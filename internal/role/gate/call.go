package gate

import (
	"net/http"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// Call is one attempt of a caller, as the gateway took it from the wire.
type Call struct {
	// ID is the caller's id of this attempt, unique within a workspace.
	ID     string `json:"id"`
	Method string `json:"method"`
	Host   string `json:"host"`
	// Target is the request target byte for byte, Path its path.
	Target string `json:"target"`
	Path   string `json:"path"`
	// Header holds the headers that go on to an upstream unchanged.
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Key is the caller's key. It never goes to an upstream or a peer.
	Key string `json:"-"`
	// Arrived is when the head of the request had been read.
	Arrived time.Time `json:"-"`
	// Deadline is when the caller gives up; zero if it did not say.
	Deadline time.Time `json:"-"`
	// Program is the id of the agent program; empty for single requests.
	Program string `json:"program,omitempty"`
	// ProgramDeadline is when the program should be finished; zero if unknown.
	ProgramDeadline time.Time `json:"-"`
	Turn            TurnAsk   `json:"turn"`
}

// TurnAsk is what a turn of a program says of itself.
type TurnAsk struct {
	// Previous is the id of the turn that this one continues; empty at the start of a chain.
	Previous string `json:"previous,omitempty"`
	// Budget is the tokens that all turns of the program may generate; 0 is no limit.
	Budget int64 `json:"budget,omitempty"`
	// PromptTokens is the size of the prompt, MostTokens the most tokens that the turn generates.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	MostTokens   int64 `json:"most_tokens,omitempty"`
	// Parts are the parts of the prompt in order. The last one belongs to the turn's line of turns; earlier ones are
	// shared with other lines or programs.
	Parts []PromptPart `json:"parts,omitempty"`
	// ResumeAfter is the id of the last event that the caller has of an earlier stream; empty for a new one.
	ResumeAfter string `json:"resume_after,omitempty"`
}

// PromptPart is a part of a prompt that engines cache as one.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Reply is the way back to the caller. Head is called at most once, before Write.
type Reply interface {
	// Head begins the answer. Size is the length of the body, or -1 if it is not known.
	Head(status int, h http.Header, size int64)
	// Write sends a part of the body at once.
	Write(b []byte) error
}

// Dispatch is what the gateway adds to a call for an upstream.
type Dispatch struct {
	// Instance is the only upstream that may run the request.
	Instance string
	// Workspace is the holder of the caller's key; empty on open routes.
	Workspace string
	// Left is how long the upstream may work.
	Left time.Duration
	// Urgency orders the requests at an engine, 0 first; negative for none.
	Urgency int
	// ResumeAfter is the id of the last event that was passed on; empty for a stream from its start.
	ResumeAfter string
}

// Verdict is what an upstream's answer says beside its body.
type Verdict struct {
	// NotRun is the upstream's word that it did not run the request and will not.
	NotRun bool
	// Misdirected means that another instance has the address.
	Misdirected bool
	// Leaving is the upstream's word that it takes new work only for a short while.
	Leaving bool
	// Signed says that the answer bears the upstream's signature.
	Signed  bool
	Load    roster.Load
	HasLoad bool
}

// Codec translates between calls and the protocol of upstreams.
type Codec interface {
	// Forward returns the headers for an upstream.
	Forward(c *Call, d Dispatch) http.Header
	// Answers reports whether a head answers the call with the id.
	Answers(h http.Header, id string) bool
	// Verdict reads a head.
	Verdict(status int, h http.Header) Verdict
	// Backward returns the headers for the caller.
	Backward(h http.Header) http.Header
}
