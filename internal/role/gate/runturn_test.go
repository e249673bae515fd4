package gate

import (
	"testing"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/layout"
)

// TestTurnOfAnUnknownWorkspaceIsRefused guards against turns that run without a rate at a home that does not know their
// workspace, as before its first configuration.
func TestTurnOfAnUnknownWorkspaceIsRefused(t *testing.T) {
	rated := layout.New(layout.Layout{Version: 1, Workspaces: []layout.Workspace{{Name: "kura", RatePerSecond: 5}}})
	tests := []struct {
		name      string
		layout    *layout.Layout
		workspace string
		refused   bool
	}{
		{"no configuration", nil, "kura", true},
		{"unknown workspace", rated, "other", true},
		{"known workspace", rated, "kura", false},
		{"route without keys", rated, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{settings: config.DefaultGateway()}
			g.layout.Store(tt.layout)
			w, f := g.workspaceOf(&turnRequest{Workspace: tt.workspace})
			is.Equal(f != nil, tt.refused)
			if tt.refused {
				is.Equal(f.Code, fault.Unready)
				is.Equal(f.Outcome, fault.NotRun)
				return
			}
			is.Equal(w.Name, tt.workspace)
		})
	}
}
