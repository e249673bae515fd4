package serve

import (
	"context"
	"io"
	"net/http"
)

// bodyStep is the most that is reserved for a body at a time, before it is read.
const bodyStep = 32 << 10

// body is the body of a request, whose bytes are reserved before they are read.
type body struct {
	io.ReadCloser
	ctx      context.Context
	listener *listener
	from     *conn
	// left is the number of bytes that were not read yet, or -1 if unknown.
	left int64
	// reserved is what may still be read without another reservation, held all that the request has reserved.
	reserved, held int64
	refused        bool
}

// Read implements io.Reader. It returns ErrBudget if there is no memory.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 || len(p) == 0 {
		return b.ReadCloser.Read(p) // Reports the end of the body.
	}
	if b.refused {
		return 0, ErrBudget
	}
	if b.reserved == 0 {
		n := int64(bodyStep)
		if b.left > 0 {
			n = min(n, b.left)
		}
		budget := b.listener.options.Budget
		if !budget.Reserve(b.ctx, n, b.held) {
			b.refused = true
			b.listener.refused("body_memory", b.from.RemoteAddr(), int(b.held), int(budget.total.Load()))
			return 0, ErrBudget
		}
		b.reserved, b.held = n, b.held+n
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.reserved)])
	b.reserved -= int64(n)
	if b.left > 0 {
		b.left -= int64(n)
	}
	return n, err
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// HeadBytes returns the size of a request's head as the caller sent it, or zero if it is not known.
func HeadBytes(ctx context.Context) int {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.head
	}
	return 0
}

// withBudget returns a handler that keeps the memory of each request reserved until it has been answered.
func (l *listener) withBudget(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if c.last {
			w.Header().Set("Connection", "close")
		}
		budget := l.options.Budget
		held := c.held.Swap(0)
		defer func() { budget.Release(held) }()
		if budget != nil && r.ContentLength != 0 {
			b := &body{ReadCloser: r.Body, ctx: r.Context(), listener: l, from: c, left: r.ContentLength, held: held}
			copied := *r // The server looks at the body of its own request.
			copied.Body = b
			r = &copied
			defer func() { held = b.held }()
		}
		h.ServeHTTP(w, r)
	})
}

// ReadBody reads a body of the given size, or of unknown size if it is negative. It holds at most twice the size while
// it reads, which io.ReadAll does not ensure.
func ReadBody(r io.Reader, size int64) ([]byte, error) {
	const least = 8 << 10
	out := make([]byte, 0, initialSize(size, least))
	for {
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if len(out) < cap(out) {
			continue
		}
		// One byte beyond the size lets the end of the body be read without another step.
		next := int64(2 * cap(out))
		if size >= 0 {
			next = min(next, size+1)
		}
		grown := make([]byte, len(out), max(next, int64(len(out)+1)))
		copy(grown, out)
		out = grown
	}
}

func initialSize(size, least int64) int64 {
	if size < 0 {
		return least
	}
	return min(size+1, least)
}
