package gate

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"galenaward.example/galenaward/internal/state/turns"
)

// memo remembers a value for each of the turns or programs that were used last. It is safe for concurrent use.
type memo[V any] struct{ m *lru.Cache[turns.Ref, V] }

func newMemo[V any](size int) memo[V] {
	m, err := lru.New[turns.Ref, V](size)
	if err != nil {
		panic(err) // Every size is a constant above zero.
	}
	return memo[V]{m}
}

// of returns the value, zero if none is known.
func (c memo[V]) of(r turns.Ref) V {
	v, _ := c.m.Get(r)
	return v
}

func (c memo[V]) set(r turns.Ref, v V) { c.m.Add(r, v) }

// first returns the value that the name had first, which is v if there was none.
func (c memo[V]) first(r turns.Ref, v V) V {
	if known, ok, _ := c.m.PeekOrAdd(r, v); ok {
		return known
	}
	return v
}
