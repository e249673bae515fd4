package prog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Message is one message of a program's history in the chat-completions form.
type Message struct {
	Role string `json:"role"`
	// Content is a JSON string, an array of parts, or null.
	Content    json.RawMessage `json:"content,omitempty"`
	Name       string          `json:"name,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
}

// NewTextMessage returns a message whose content is a plain string.
func NewTextMessage(role, content string) Message {
	b, _ := json.Marshal(content)
	return Message{Role: role, Content: b}
}

// Equal reports whether two messages are equal, ignoring the formatting of their JSON.
func (m Message) Equal(o Message) bool {
	return m.Role == o.Role && m.Name == o.Name && m.ToolCallID == o.ToolCallID &&
		equalJSON(m.Content, o.Content) && equalJSON(m.ToolCalls, o.ToolCalls)
}

func equalJSON(a, b json.RawMessage) bool {
	return bytes.Equal(canonicalJSON(a), canonicalJSON(b))
}

// canonicalJSON re-encodes the value, so that equal values have equal bytes. It returns nil for both absent and null,
// and invalid JSON unchanged.
func canonicalJSON(raw json.RawMessage) []byte {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return raw
	}
	b, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return b
}

// extendDigest returns the digest of a history with digest prev followed by the messages.
func extendDigest(prev string, ms []Message) string {
	for _, m := range ms {
		m.Content, m.ToolCalls = canonicalJSON(m.Content), canonicalJSON(m.ToolCalls)
		b, _ := json.Marshal(m)
		sum := sha256.Sum256(append([]byte(prev), b...))
		prev = hex.EncodeToString(sum[:])
	}
	return prev
}

// RequestDigest returns the digest that identifies a request, used to detect an idempotency key reused with another
// request.
func RequestDigest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
