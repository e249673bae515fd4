package chat

import (
	"encoding/json"

	"galenaward.example/galenaward/internal/state/prog"
)

// ToolCall is a complete tool call.
type ToolCall struct {
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function Function `json:"function"`
}

// Function is the function that a tool call invokes.
type Function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Accumulator assembles the chunks of one streamed completion. The zero value is ready for use.
type Accumulator struct {
	ID      string
	Model   string
	Created int64
	// Content is the message content received so far.
	Content   string
	ToolCalls []ToolCall
	// FinishReason is the engine's finish reason; empty while the completion is incomplete.
	FinishReason string
	Usage        *Usage
}

// Add applies a chunk. Only the choice with index 0 is read.
func (a *Accumulator) Add(c Chunk) {
	if a.ID == "" {
		a.ID, a.Model, a.Created = c.ID, c.Model, c.Created
	}
	if c.Usage != nil {
		a.Usage = c.Usage
	}
	for _, ch := range c.Choices {
		if ch.Index != 0 {
			continue
		}
		a.Content += ch.Delta.Content
		for _, t := range ch.Delta.ToolCalls {
			a.addToolCall(t)
		}
		if ch.FinishReason != nil {
			a.FinishReason = *ch.FinishReason
		}
	}
}

func (a *Accumulator) addToolCall(d ToolCallDelta) {
	for len(a.ToolCalls) <= d.Index {
		a.ToolCalls = append(a.ToolCalls, ToolCall{Type: "function"})
	}
	t := &a.ToolCalls[d.Index]
	if d.ID != "" {
		t.ID = d.ID
	}
	if d.Type != "" {
		t.Type = d.Type
	}
	t.Function.Name += d.Function.Name
	t.Function.Arguments += d.Function.Arguments
}

// Message returns the completion as a message for the program's history.
func (a *Accumulator) Message() prog.Message {
	m := prog.NewTextMessage("assistant", a.Content)
	if len(a.ToolCalls) == 0 {
		return m
	}
	if a.Content == "" {
		m.Content = nil
	}
	m.ToolCalls, _ = json.Marshal(a.ToolCalls)
	return m
}

// Completion is a complete response as callers receive it.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the single choice of a completion.
type Choice struct {
	Index        int          `json:"index"`
	Message      prog.Message `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

// Completion returns the response for the caller. Its usage is zero if the engine reported none.
func (a *Accumulator) Completion() Completion {
	c := Completion{ID: a.ID, Object: "chat.completion", Created: a.Created, Model: a.Model}
	c.Choices = []Choice{{Message: a.Message(), FinishReason: a.FinishReason}}
	if a.Usage != nil {
		c.Usage = *a.Usage
	}
	return c
}
