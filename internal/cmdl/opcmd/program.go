package opcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-faster/jx"
	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// Program returns the commands that manage and call programs.
func Program() *parse.Command {
	return &parse.Command{
		Name: "program", Help: "create, call, show and end programs with a caller's key",
		Subcommands: []*parse.Command{programCreate(), programCall(), programService(), programShow(), programEnd()},
	}
}

func programCreate() *parse.Command {
	f, model, parent, budget := &clientFlags{}, "", "", int64(0)
	return &parse.Command{
		Name: "create", Help: "create a program",
		Arguments: []parse.Argument{{Name: "MODEL", Help: "model that the program calls", Value: &model}},
		Flags: func(sc *flaggy.Subcommand) {
			f.flags(sc)
			sc.String(&parent, "p", "parent", "program of which this is a sub-agent")
			sc.Int64(&budget, "b", "budget", "budget in tokens; the setting's if left out")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			req := &oasgen.ProgramRequest{Model: model}
			if parent != "" {
				req.Parent = oasgen.NewOptString(parent)
			}
			if budget != 0 {
				req.BudgetTokens = oasgen.NewOptInt64(budget)
			}
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Program, error) {
				return c.CreateProgram(ctx, req)
			}, printProgram)
		},
	}
}

func programShow() *parse.Command {
	f, id := &clientFlags{}, ""
	return &parse.Command{
		Name: "show", Help: "show a program with its history", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "PROGRAM", Help: "id of the program", Value: &id}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Program, error) {
				return c.ReadProgram(ctx, oasgen.ReadProgramParams{Program: id})
			}, printProgram)
		},
	}
}

func programEnd() *parse.Command {
	f, id := &clientFlags{}, ""
	return &parse.Command{
		Name: "end", Help: "end a program and its sub-agents", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "PROGRAM", Help: "id of the program", Value: &id}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Program, error) {
				return c.EndProgram(ctx, oasgen.EndProgramParams{Program: id})
			}, printProgram)
		},
	}
}

func printProgram(out io.Writer, p *oasgen.Program) {
	fmt.Fprintf(out, "program %s of workspace %s, model %s, %s\n", p.Program, p.Workspace, p.Model, p.State)
	fmt.Fprintf(out, "turns %d, spent %d of %d tokens\n", p.Turns, p.SpentTokens, p.BudgetTokens)
	for _, m := range p.History {
		fmt.Fprintf(out, "  %s: %s\n", m.Role, m.Content)
	}
}

func programCall() *parse.Command {
	f, id, text, key := &clientFlags{}, "", "", ""
	return &parse.Command{
		Name: "call", Help: "send a user message and print the answer as it comes",
		Arguments: []parse.Argument{
			{Name: "PROGRAM", Help: "id of the program", Value: &id},
			{Name: "TEXT", Help: "the message", Value: &text},
		},
		Flags: func(sc *flaggy.Subcommand) {
			f.flags(sc)
			sc.String(&key, "i", "idempotency-key", "key under which the call may be repeated")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			content, err := json.Marshal(text)
			if err != nil {
				return err
			}
			req := &oasgen.ModelCall{
				Messages: []oasgen.Message{{Role: oasgen.MessageRoleUser, Content: jx.Raw(content)}},
				Stream:   oasgen.NewOptBool(!f.json),
			}
			if key != "" {
				req.IdempotencyKey = oasgen.NewOptString(key)
			}
			return callModel(ctx, f, out, id, req)
		},
	}
}

func callModel(ctx context.Context, f *clientFlags, out io.Writer, id string, req *oasgen.ModelCall) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	res, err := c.CallModel(ctx, req, oasgen.CallModelParams{Program: id})
	if err != nil {
		return f.describeError(err)
	}
	switch res := res.(type) {
	case *oasgen.Completion:
		return f.print(out, res, nil)
	case *oasgen.CompletionTextEventStream:
		return printEvents(out, res.Data)
	}
	return errors.Newf("unexpected answer %T", res)
}

// printEvents prints the text of an event stream as it arrives. A stream without its end marker is an error.
func printEvents(out io.Writer, data io.Reader) error {
	err := chat.ReadEvents(data, func(b []byte) error {
		var failure oasgen.Failure
		if failure.UnmarshalJSON(b) == nil && failure.Error.Code != "" {
			return errors.Newf("%s: %s (outcome %s)", failure.Error.Code, failure.Error.Message, failure.Error.Outcome)
		}
		ck, err := chat.ParseChunk(b)
		if err != nil {
			return err
		}
		for _, ch := range ck.Choices {
			fmt.Fprint(out, ch.Delta.Content)
		}
		return nil
	})
	fmt.Fprintln(out)
	return err
}

func programService() *parse.Command {
	f, id, service, body, key, idempotent := &clientFlags{}, "", "", "", "", false
	return &parse.Command{
		Name: "service", Help: "call a plain service as part of a program",
		Arguments: []parse.Argument{
			{Name: "PROGRAM", Help: "id of the program", Value: &id},
			{Name: "SERVICE", Help: "name of the service", Value: &service},
			{Name: "BODY", Help: "JSON document for the service", Value: &body},
		},
		Flags: func(sc *flaggy.Subcommand) {
			f.flags(sc)
			sc.String(&key, "i", "idempotency-key", "key of the call; needed unless it is idempotent")
			sc.Bool(&idempotent, "d", "idempotent", "the call may be repeated")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			if !jx.Valid([]byte(body)) {
				return errors.Mark(errors.Newf("BODY %q is not JSON", body), parse.ErrUsage)
			}
			req := &oasgen.ServiceCall{Body: jx.Raw(body), Idempotent: oasgen.NewOptBool(idempotent)}
			if key != "" {
				req.IdempotencyKey = oasgen.NewOptString(key)
			}
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.ServiceAnswer, error) {
				return c.CallService(ctx, req, oasgen.CallServiceParams{Program: id, Service: service})
			}, func(out io.Writer, a *oasgen.ServiceAnswer) {
				fmt.Fprintf(out, "status %d, replayed %t\n%s\n", a.Status, a.Replayed, a.Body)
			})
		},
	}
}
