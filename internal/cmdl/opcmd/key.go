package opcmd

import (
	"context"
	"fmt"
	"io"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// Key returns the commands that manage callers' keys.
func Key() *parse.Command {
	return &parse.Command{
		Name: "key", Help: "issue and withdraw callers' keys",
		Subcommands: []*parse.Command{keyIssue(), keyWithdraw(), keyList()},
	}
}

func keyIssue() *parse.Command {
	f, workspace := &clientFlags{}, ""
	return &parse.Command{
		Name: "issue", Help: "make a key; its secret is shown once", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "WORKSPACE", Help: "workspace that the key is for", Value: &workspace}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.IssuedKey, error) {
				return c.IssueKey(ctx, &oasgen.KeyRequest{Workspace: workspace})
			}, func(out io.Writer, k *oasgen.IssuedKey) {
				fmt.Fprintf(out, "key %s of workspace %s\nsecret %s\n", k.Key, k.Workspace, k.Secret)
			})
		},
	}
}

func keyWithdraw() *parse.Command {
	f, key := &clientFlags{}, ""
	return &parse.Command{
		Name: "withdraw", Help: "end a key everywhere, open answers included", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "KEY", Help: "id of the key, not its secret", Value: &key}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Key, error) {
				return c.WithdrawKey(ctx, oasgen.WithdrawKeyParams{Key: key})
			}, printKey)
		},
	}
}

func printKey(out io.Writer, k *oasgen.Key) {
	fmt.Fprintf(out, "key %s of workspace %s %s\n", k.Key, k.Workspace, k.State)
}

func keyList() *parse.Command {
	f := &clientFlags{}
	return &parse.Command{
		Name: "list", Help: "list keys without their secrets", Flags: f.flags,
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.ListKeysOK, error) {
				return c.ListKeys(ctx)
			}, func(out io.Writer, l *oasgen.ListKeysOK) {
				for i := range l.Keys {
					printKey(out, &l.Keys[i])
				}
			})
		},
	}
}
