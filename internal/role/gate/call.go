package gate

import (
	"net/http"
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
)

// Call is one attempt of a client request as the gateway received it.
type Call struct {
	// ID is the caller's ID for this attempt, unique within a workspace.
	ID     string `json:"id"`
	Method string `json:"method"`
	Host   string `json:"host"`
	// Target is the request target byte for byte, Path its path component.
	Target string `json:"target"`
	Path   string `json:"path"`
	// Header holds the headers that are forwarded to upstreams unchanged.
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Key is the caller's API key. It is never sent to an upstream or a peer.
	Key string `json:"-"`
	// Arrived is when the request headers had been read.
	Arrived time.Time `json:"-"`
	// Deadline is when the caller stops waiting; zero if the caller set none.
	Deadline time.Time `json:"-"`
	// Program is the ID of the agent program; empty for single requests.
	Program string `json:"program,omitempty"`
	// ProgramDeadline is when the program should be finished; zero if unknown.
	ProgramDeadline time.Time `json:"-"`
	// Affinity identifies the object that the call concerns; empty if the caller names none.
	Affinity string     `json:"affinity,omitempty"`
	Turn     TurnParams `json:"turn"`
}

// TurnParams holds the parameters that the caller sets for a turn of a program.
type TurnParams struct {
	// Previous is the ID of the turn that this one continues; empty at the start of a chain.
	Previous string `json:"previous,omitempty"`
	// Budget is the number of tokens that all turns of the program together may generate; 0 means no limit.
	Budget int64 `json:"budget,omitempty"`
	// PromptTokens is the size of the prompt, MaxTokens the upper bound on generated tokens.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	MaxTokens    int64 `json:"most_tokens,omitempty"`
	// Parts are the parts of the prompt in order. The last one is specific to this chain of turns; earlier ones are
	// shared with other chains or programs.
	Parts []PromptPart `json:"parts,omitempty"`
	// ResumeAfter is the ID of the last event that the caller received of an interrupted stream; empty for a new one.
	ResumeAfter string `json:"resume_after,omitempty"`
}

// PromptPart is a section of a prompt that engines cache as a unit.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Reply writes the response to the caller. Head is called at most once, before Write.
type Reply interface {
	// Head sends the status and headers. Size is the length of the body, or -1 if unknown.
	Head(status int, h http.Header, size int64)
	// Write sends a piece of the body without buffering it.
	Write(b []byte) error
}

// UpstreamParams holds what the gateway adds to a call when it sends it to an upstream.
type UpstreamParams struct {
	// Instance is the only upstream instance that may run the request.
	Instance string
	// Workspace is the owner of the caller's key; empty on routes that need no key.
	Workspace string
	// Timeout is the time that the upstream has to answer.
	Timeout time.Duration
	// Priority is the request's priority at an engine, 0 being the highest; negative for none.
	Priority int
	// ResumeAfter is the ID of the last event that the caller received; empty for a stream from its start.
	ResumeAfter string
}

// ResponseInfo is the metadata that an upstream sends in its response headers.
type ResponseInfo struct {
	// NotExecuted means that the upstream did not run the request and will not.
	NotExecuted bool
	// Misdirected means that another instance now listens at the address.
	Misdirected bool
	// Leaving means that the upstream is shutting down and accepts new requests only for a short time.
	Leaving bool
	// Signed means that the response carries the upstream's signature.
	Signed  bool
	Load    roster.Load
	HasLoad bool
	// RateCap is the rate of requests that the upstream accepts. InvalidRateCap is the value if it is malformed.
	RateCap        roster.RateCap
	InvalidRateCap string
}

// Codec translates between calls and the upstream protocol.
type Codec interface {
	// RequestHeaders returns the headers to send to an upstream.
	RequestHeaders(c *Call, d UpstreamParams) http.Header
	// ResponseID returns the ID of the call that the response headers belong to; empty if they carry none.
	ResponseID(h http.Header) string
	// ParseResponse parses the status and headers of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeaders returns the headers to send to the caller.
	ResponseHeaders(h http.Header) http.Header
}
