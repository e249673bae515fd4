package gate

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"galenaward.example/galenaward/internal/state/turns"
)

// memo is an LRU cache of a value per turn or program. It is safe for concurrent use.
type memo[V any] struct{ m *lru.Cache[turns.Ref, V] }

func newMemo[V any](size int) memo[V] {
	m, err := lru.New[turns.Ref, V](size)
	if err != nil {
		panic(err) // lru.New fails only for sizes below one, and all sizes are positive constants.
	}
	return memo[V]{m}
}

// get returns the value for r, or the zero value.
func (c memo[V]) get(r turns.Ref) V {
	v, _ := c.m.Get(r)
	return v
}

func (c memo[V]) set(r turns.Ref, v V) { c.m.Add(r, v) }

// getOrAdd returns the existing value for r, or stores and returns v.
func (c memo[V]) getOrAdd(r turns.Ref, v V) V {
	if known, ok, _ := c.m.PeekOrAdd(r, v); ok {
		return known
	}
	return v
}
