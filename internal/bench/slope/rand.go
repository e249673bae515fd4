package slope

import "math/rand/v2"

// seed is fixed so that runs are repeatable.
const seed = 5

func newRand() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
