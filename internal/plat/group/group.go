// Package group runs goroutines that share a context and whose end can be awaited. Neither errors nor panics are lost:
// Wait returns the first error, and a panic ends the process.
package group

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines that share a context. The first error cancels the context.
type Group struct {
	eg  *errgroup.Group
	ctx context.Context
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{eg: eg, ctx: ctx}
}

// Context returns the group's context. It ends when a goroutine fails, the parent ends or Wait returns.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f with the group's context in a new goroutine.
func (g *Group) Go(f func(ctx context.Context) error) {
	g.eg.Go(func() error { return f(g.ctx) })
}

// Wait blocks until all goroutines have returned, and returns the first error.
func (g *Group) Wait() error { return g.eg.Wait() }
