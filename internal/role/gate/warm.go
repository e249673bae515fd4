package gate

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"galenaward.example/galenaward/internal/state/turns"
)

// warmTurns bounds the turns whose engine is remembered.
const warmTurns = 20_000

// warmth remembers the engine that holds the cache of each turn.
type warmth struct{ m *lru.Cache[turns.Ref, string] }

func newWarmth() warmth {
	m, err := lru.New[turns.Ref, string](warmTurns)
	if err != nil {
		panic(err) // The size is a constant above zero.
	}
	return warmth{m}
}

// of returns the instance of the engine, empty if none is known.
func (w warmth) of(turn turns.Ref) string {
	instance, _ := w.m.Get(turn)
	return instance
}

func (w warmth) set(turn turns.Ref, instance string) { w.m.Add(turn, instance) }
