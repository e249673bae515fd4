package gate

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"galenaward.example/galenaward/internal/state/turns"
)

// warmPrograms bounds the programs whose engine is remembered.
const warmPrograms = 20_000

// warmth remembers the engine that holds the cache of each program.
type warmth struct{ m *lru.Cache[turns.Ref, string] }

func newWarmth() warmth {
	m, err := lru.New[turns.Ref, string](warmPrograms)
	if err != nil {
		panic(err) // The size is a constant above zero.
	}
	return warmth{m}
}

// of returns the instance of the engine, empty if none is known.
func (w warmth) of(program turns.Ref) string {
	instance, _ := w.m.Get(program)
	return instance
}

func (w warmth) set(program turns.Ref, instance string) { w.m.Add(program, instance) }
