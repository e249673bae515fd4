package permit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// naiveAllocator grants a permit if, counting from the start and from each earlier grant, no more than the rate and the
// burst allow have been granted. It keeps all grants.
type naiveAllocator struct {
	start  time.Time
	grants []time.Time
}

func (a *naiveAllocator) grant(perSecond float64, n int, now time.Time) int {
	granted := 0
	for range n {
		if !a.allows(perSecond, now) {
			break
		}
		a.grants = append(a.grants, now)
		granted++
	}
	return granted
}

func (a *naiveAllocator) allows(perSecond float64, now time.Time) bool {
	if float64(len(a.grants)+1) > perSecond*now.Sub(a.start).Seconds() {
		return false // The bucket was empty at the start.
	}
	for i, at := range a.grants {
		if float64(len(a.grants)-i+1) > perSecond*now.Sub(at).Seconds()+Burst {
			return false
		}
	}
	return true
}

// TestAllocatorMatchesNaive guards against errors in the bucket's arithmetic: random requests for permits get as many from
// the allocator as from one that checks each window.
func TestAllocatorMatchesNaive(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 11))
		perSecond := 0.5 + 60*rng.Float64()
		a, naive := NewAllocator(noon), &naiveAllocator{start: noon}
		now, total := noon, 0
		for range 300 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(60*time.Millisecond)))
			n := 1 + rng.IntN(5)
			var g Grant
			a, g = a.Grant(perSecond, n, now)
			is.Equal(g.Permits, naive.grant(perSecond, n, now))
			is.Equal(g.Permits+g.Refused, n)
			total += g.Permits
		}
		is.True(total > 0)
	}
}
