package prog

// Program is a sequence of calls that run one at a time. It is immutable; With methods return changed copies.
type Program struct {
	ID        string `json:"id"`
	Parent    string `json:"parent,omitempty"`
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	// Turns is the number of finished model calls.
	Turns int `json:"turns"`
	// History holds all messages in order. It is append-only.
	History []Message `json:"history"`
	// Digest is the chained digest of all messages in History.
	Digest string `json:"digest"`
	// TokensUsed is the number of tokens used by all finished turns.
	TokensUsed int64 `json:"cost"`
	// ContextTokens is the number of tokens in History as counted by the engine.
	ContextTokens int64 `json:"context"`
	// Calls holds the calls with an idempotency key, one per key, oldest first.
	Calls []Call `json:"calls,omitempty"`
	Ended bool   `json:"ended,omitempty"`
}

// Call returns the call with the key.
func (p Program) Call(key string) (Call, bool) {
	for _, c := range p.Calls {
		if c.Key == key {
			return c, true
		}
	}
	return Call{}, false
}

// WithCall returns a copy with the call added, or replacing the call with the same key.
func (p Program) WithCall(c Call) Program {
	calls := make([]Call, 0, len(p.Calls)+1)
	replaced := false
	for _, o := range p.Calls {
		if o.Key == c.Key {
			o = c
			replaced = true
		}
		calls = append(calls, o)
	}
	if !replaced {
		calls = append(calls, c)
	}
	p.Calls = calls
	return p
}

// WithTurn returns a copy with the finished turn added.
func (p Program) WithTurn(t Turn) Program {
	p.Turns = t.Number
	// Capping the capacity forces append to copy, so that two copies never write to the same backing array.
	p.History = append(p.History[:len(p.History):len(p.History)], t.Messages...)
	p.Digest = extendDigest(p.Digest, t.Messages)
	p.TokensUsed += t.TokensUsed
	p.ContextTokens = t.ContextTokens
	if t.Key == "" {
		return p
	}
	p = p.WithCall(Call{Key: t.Key, Digest: t.Digest, State: StateDone, Turn: t.Number, Response: t.Response})
	return p.dropResponsesThrough(t.Number - maxStoredResponses)
}

// maxStoredResponses is the number of most recent turns whose responses are stored to answer repeated calls.
const maxStoredResponses = 16

// dropResponsesThrough removes the responses of all turns up to and including turn. It changes Calls in place, which is
// safe because WithCall has just allocated it.
func (p Program) dropResponsesThrough(turn int) Program {
	for i, c := range p.Calls {
		if c.Turn > 0 && c.Turn <= turn {
			p.Calls[i].Response = nil
		}
	}
	return p
}

// AddedMessages reports whether the messages begin with the whole history and add at least one, and returns the added
// ones.
func (p Program) AddedMessages(ms []Message) ([]Message, bool) {
	if len(ms) <= len(p.History) {
		return nil, false
	}
	for i, h := range p.History {
		if !h.Equal(ms[i]) {
			return nil, false
		}
	}
	return ms[len(p.History):], true
}
