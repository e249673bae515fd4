package gate

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"galenaward.example/galenaward/internal/state/turns"
)

// askedPrograms bounds the refused programs that are remembered.
const askedPrograms = 5_000

// asked remembers how much time programs had when they first wanted to begin.
type asked struct {
	m *lru.Cache[turns.Ref, time.Duration]
}

func newAsked() asked {
	m, err := lru.New[turns.Ref, time.Duration](askedPrograms)
	if err != nil {
		panic(err) // The size is a constant above zero.
	}
	return asked{m}
}

// whole returns the time that the program had at first; left is what it has now.
func (a asked) whole(program turns.Ref, left time.Duration) time.Duration {
	if first, ok := a.m.Get(program); ok {
		return first
	}
	a.m.Add(program, left)
	return left
}
