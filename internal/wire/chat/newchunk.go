package chat

import (
	"encoding/json"
	"strings"
)

// NewChunk returns a stored completion as a single chunk.
func NewChunk(c Completion) Chunk {
	m := c.Choices[0].Message
	var text string
	_ = json.Unmarshal(m.Content, &text)
	d := Delta{Role: m.Role, Content: text}
	var calls []ToolCall
	_ = json.Unmarshal(m.ToolCalls, &calls)
	for i, t := range calls {
		f := FunctionDelta{Name: t.Function.Name, Arguments: t.Function.Arguments}
		d.ToolCalls = append(d.ToolCalls, ToolCallDelta{Index: i, ID: t.ID, Type: t.Type, Function: f})
	}
	finish := c.Choices[0].FinishReason
	u := c.Usage
	return Chunk{
		ID: c.ID, Object: "chat.completion.chunk", Created: c.Created, Model: c.Model, Usage: &u,
		Choices: []ChunkChoice{{Delta: d, FinishReason: &finish}},
	}
}

// WithoutPrefix returns the chunk with prefix removed from the start of its text, and whether the text started with it.
// The returned chunk shares its choices with c.
func (c Chunk) WithoutPrefix(prefix string) (Chunk, bool) {
	d := &c.Choices[0].Delta
	rest, ok := strings.CutPrefix(d.Content, prefix)
	d.Content = rest
	return c, ok
}
