package opcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// Workspace returns the commands that manage workspaces.
func Workspace() *parse.Command {
	return &parse.Command{
		Name: "workspace", Help: "create and list workspaces",
		Subcommands: []*parse.Command{workspaceCreate(), workspaceList()},
	}
}

func workspaceCreate() *parse.Command {
	f, name, branch := &clientFlags{}, "", ""
	return &parse.Command{
		Name: "create", Help: "create a workspace",
		Arguments: []parse.Argument{{Name: "NAME", Help: "lower-case letters, digits and hyphens", Value: &name}},
		Flags: func(sc *flaggy.Subcommand) {
			f.flags(sc)
			sc.String(&branch, "b", "branch", "branch of the settings tree; /NAME if left out")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			if branch == "" {
				branch = "/" + name
			}
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Workspace, error) {
				return c.CreateWorkspace(ctx, &oasgen.Workspace{Name: name, Branch: branch})
			}, printWorkspace)
		},
	}
}

func printWorkspace(out io.Writer, w *oasgen.Workspace) {
	fmt.Fprintf(out, "workspace %s at branch %s\n", w.Name, w.Branch)
}

func workspaceList() *parse.Command {
	f := &clientFlags{}
	return &parse.Command{
		Name: "list", Help: "list workspaces", Flags: f.flags,
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.ListWorkspacesOK, error) {
				return c.ListWorkspaces(ctx)
			}, func(out io.Writer, l *oasgen.ListWorkspacesOK) {
				for i := range l.Workspaces {
					printWorkspace(out, &l.Workspaces[i])
				}
			})
		},
	}
}
