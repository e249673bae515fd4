// Package peer defines the messages that entries and sidecars exchange over streamed HTTP.
package peer

import (
	"encoding/json"

	"galenaward.example/galenaward/internal/state/prog"
)

// Paths of the streams that a sidecar serves.
const (
	// CallsPath accepts a CallRequest at the home of the program.
	CallsPath = "/v1/calls"
	// RunsPath accepts a RunRequest at the sidecar of the upstream.
	RunsPath = "/v1/runs"
)

// RunRequest asks a sidecar to run one request on its upstream. A request with the same ID as an earlier one joins that
// one's stream.
type RunRequest struct {
	ID        string `json:"id"`
	Program   string `json:"program"`
	Workspace string `json:"workspace"`
	// Key is the id of the caller's key; empty on public routes.
	Key string `json:"key,omitempty"`
	// SettingsVersion is the settings version that the sender used, and SettingsPeer the process to fetch it from.
	SettingsVersion int64  `json:"settings_version"`
	SettingsPeer    string `json:"settings_peer,omitempty"`
	// TokensUsed is the number of tokens that the program has used so far.
	TokensUsed int64 `json:"attained"`
	// TimeoutMS bounds the run in milliseconds, time in the queue included.
	TimeoutMS int64 `json:"timeout_ms"`
	// Crashes are the records of crashes known to the sender.
	Crashes []CrashRecord `json:"crashes,omitempty"`
	Model   *ModelCall    `json:"model,omitempty"`
	Service *ServiceCall  `json:"service,omitempty"`
}

// CrashRecord records the crashes of upstreams while they ran a request.
type CrashRecord struct {
	// Fingerprint identifies the request by its content.
	Fingerprint uint64 `json:"fingerprint"`
	// CrashIDs holds one id for each crash.
	CrashIDs []string `json:"events"`
}

// ModelCall is a model call.
type ModelCall struct {
	Name     string         `json:"name"`
	Messages []prog.Message `json:"messages"`
	// Prefix is the part of the response that an earlier run produced; the run continues after it.
	Prefix    string `json:"prefix,omitempty"`
	MaxTokens int64  `json:"max_tokens"`
	// Params are further fields of the chat-completions request, forwarded unchanged.
	Params map[string]json.RawMessage `json:"params,omitempty"`
}

// ServiceCall is a call of a service other than a model engine.
type ServiceCall struct {
	Name string          `json:"name"`
	Body json.RawMessage `json:"body"`
	// Idempotent reports whether the call may be retried.
	Idempotent bool `json:"idempotent"`
}

// ServiceResult is the result of a service call.
type ServiceResult struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
	// Replayed reports whether the result was stored by an earlier call with the same idempotency key.
	Replayed bool `json:"replayed"`
}
