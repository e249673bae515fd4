package entry

import (
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// handler implements the HTTP API for callers and operators.
type handler struct{ entry *Entry }

var (
	_ oasgen.Handler         = (*handler)(nil)
	_ oasgen.SecurityHandler = (*handler)(nil)
)
