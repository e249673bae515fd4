package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/telem"
)

const goodSettings = `{"vm": "v", "data_centre": "a", "log_address": "127.0.0.1:1", "memory_mb": 200}`

func TestReload(t *testing.T) {
	tests := []struct {
		name, text string
		applied    bool
		// logged is a substring that the log must contain.
		logged string
	}{
		{"changed field", goodSettings, true, `"changed":"memory_mb"`},
		{"changed list", strings.Replace(goodSettings, `"memory_mb": 200`, `"memory_mb": 256, "seeds": ["127.0.0.1:2"]`, 1), true, `"changed":"seeds"`},
		{"same file", strings.Replace(goodSettings, "200", "256", 1), false, `"changed":""`},
		{"unknown field", strings.Replace(goodSettings, "vm", "vmm", 1), false, `field \"vmm\"`},
		{"value out of range", strings.Replace(goodSettings, "200", "2", 1), false, `memory_mb`},
		{"no settings at all", "{", false, "reload_refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "s.jsonc")
			before := strings.Replace(goodSettings, "200", "256", 1)
			cur := config.DefaultGateway()
			is.Equal(len(config.Parse([]byte(before), cur)), 0)
			is.NoErr(os.WriteFile(file, []byte(tt.text), 0o600))
			var out bytes.Buffer
			applied := false
			r := &reloader{
				path: file, logger: telem.NewLogger(&out, "gateway", "v", false), content: []byte(before), settings: *cur,
				apply: func(*config.Gateway) { applied = true },
			}
			r.reloadIfChanged("signal")
			is.Equal(applied, tt.applied)
			if !strings.Contains(out.String(), tt.logged) {
				t.Fatalf("%q is not in %s", tt.logged, out.String())
			}
		})
	}
}
