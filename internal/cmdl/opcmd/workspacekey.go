package opcmd

import (
	"context"

	"galenaward.example/galenaward/internal/wire/oasgen"
)

// CreateWorkspaceWithKey creates a workspace on the server, issues a key for it and returns the key's secret.
func CreateWorkspaceWithKey(ctx context.Context, server, operatorKey, workspace string) (string, error) {
	f := &clientFlags{server: server, key: operatorKey}
	c, err := f.client()
	if err != nil {
		return "", err
	}
	if _, err := c.CreateWorkspace(ctx, &oasgen.Workspace{Name: workspace, Branch: "/" + workspace}); err != nil {
		return "", f.describeError(err)
	}
	k, err := c.IssueKey(ctx, &oasgen.KeyRequest{Workspace: workspace})
	if err != nil {
		return "", f.describeError(err)
	}
	return k.Secret, nil
}
