package entry

import (
	"encoding/json"

	"github.com/go-faster/jx"

	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// fromAPI converts the messages of a request.
func fromAPI(ms []oasgen.Message) []prog.Message {
	out := make([]prog.Message, 0, len(ms))
	for _, m := range ms {
		n := prog.Message{
			Role: string(m.Role), Content: json.RawMessage(m.Content),
			Name: m.Name.Or(""), ToolCallID: m.ToolCallID.Or(""),
		}
		if len(m.ToolCalls) > 0 {
			n.ToolCalls = toolCallsJSON(m.ToolCalls)
		}
		out = append(out, n)
	}
	return out
}

func toolCallsJSON(calls []oasgen.ToolCall) json.RawMessage {
	out := make([]chat.ToolCall, 0, len(calls))
	for _, c := range calls {
		out = append(out, chat.ToolCall{
			ID: c.ID, Type: c.Type, Function: chat.Function{Name: c.Function.Name, Arguments: c.Function.Arguments},
		})
	}
	b, _ := json.Marshal(out)
	return b
}

// toAPI converts a message for a response.
func toAPI(m prog.Message) oasgen.Message {
	out := oasgen.Message{Role: oasgen.MessageRole(m.Role), Content: jx.Raw(m.Content)}
	if m.Name != "" {
		out.Name = oasgen.NewOptString(m.Name)
	}
	if m.ToolCallID != "" {
		out.ToolCallID = oasgen.NewOptString(m.ToolCallID)
	}
	var calls []chat.ToolCall
	_ = json.Unmarshal(m.ToolCalls, &calls)
	for _, c := range calls {
		out.ToolCalls = append(out.ToolCalls, oasgen.ToolCall{
			ID: c.ID, Type: c.Type,
			Function: oasgen.ToolCallFunction{Name: c.Function.Name, Arguments: c.Function.Arguments},
		})
	}
	return out
}

// completionOf converts a complete answer, given as the JSON of a chat.Completion.
func completionOf(raw json.RawMessage) (*oasgen.Completion, error) {
	var c chat.Completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	out := &oasgen.Completion{
		ID: c.ID, Object: c.Object, Created: c.Created, Model: c.Model,
		Usage: oasgen.CompletionUsage{
			PromptTokens: c.Usage.PromptTokens, CompletionTokens: c.Usage.CompletionTokens, TotalTokens: c.Usage.TotalTokens,
		},
	}
	for _, ch := range c.Choices {
		out.Choices = append(out.Choices, oasgen.CompletionChoicesItem{
			Index: ch.Index, Message: toAPI(ch.Message), FinishReason: ch.FinishReason,
		})
	}
	return out, nil
}
