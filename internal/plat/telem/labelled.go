package telem

import (
	"io"
	"sync"
)

// writers print metrics that are computed when they are read, such as those with labels. The zero value is ready for use.
type writers struct {
	mu    sync.Mutex
	funcs []func(io.Writer)
}

func (l *writers) write(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.funcs {
		f(w)
	}
}

// AddWriter registers a function that prints lines of the text form when metrics are read.
func (m *Metrics) AddWriter(f func(io.Writer)) {
	m.writers.mu.Lock()
	defer m.writers.mu.Unlock()
	m.writers.funcs = append(m.writers.funcs, f)
}
