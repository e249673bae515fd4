package rate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Parameters of the gateways' deployment in the model below.
const (
	movementRate      = 40.0
	movementBurst     = 40.0
	movementLease     = 1500 * time.Millisecond
	movementHeartbeat = 300 * time.Millisecond
	// movementOverlap is how long a successor grants nothing that accrued after it was assigned.
	movementOverlap = 350 * time.Millisecond
	// movementReserve is the fraction of the rate that all gateways together may spend without an allocator.
	movementReserve = 0.04
	movementCut     = 8 * time.Second
	movementTick    = 5 * time.Millisecond
)

// movement models a workspace whose allocator is cut off from the store and from all other gateways.
type movement struct {
	gateways int
	rng      *rand.Rand
	reserves []Bucket
	spent    []time.Time
	// asked and served count the requests during the cut, of the gateway that is cut off and of all others.
	asked, served [2]int
}

// take serves a request from the allocator, or from the gateway's reserve if the allocator is not reachable or its lease
// has ended, which a nil allocator stands for.
func (m *movement) take(gateway int, al *Allocator, left time.Duration, now time.Time) bool {
	if al != nil && left > 0 {
		var g Grant
		*al, g = al.Grant(TokenRequest{Waiting: 1}.WithinLease(left), now)
		if len(g.Waits) == 0 {
			return false
		}
		m.spent = append(m.spent, now.Add(time.Duration(g.Waits[0]*float64(time.Millisecond))))
		return true
	}
	n := float64(m.gateways)
	q := Quota{Rate: movementRate * movementReserve / n, Burst: max(1, movementBurst*movementReserve/n)}
	b, ok := m.reserves[gateway].Refill(q, now).Take(1)
	m.reserves[gateway] = b
	if ok {
		m.spent = append(m.spent, now)
	}
	return ok
}

// run plays 10 s of load, a cut, and 5 s more. Demand is the sum of what callers ask, as a multiple of the rate.
func (m *movement) run(demand float64) {
	q := Quota{Rate: movementRate, Burst: movementBurst}
	cutAt := noon.Add(10 * time.Second)
	leaseEnds := cutAt.Add(movementLease - time.Duration(m.rng.Int64N(int64(movementHeartbeat))))
	assigned := leaseEnds.Add(time.Duration(m.rng.Int64N(int64(movementHeartbeat))))
	healed := cutAt.Add(movementCut)
	former, successor := NewAllocator(q, q.Burst, noon), NewAllocator(q, 0, assigned.Add(movementOverlap))
	probability := demand * movementRate / float64(m.gateways) * movementTick.Seconds()
	for now := noon; now.Before(healed.Add(5 * time.Second)); now = now.Add(movementTick) {
		for g := range m.gateways {
			if m.rng.Float64() >= probability {
				continue
			}
			var al *Allocator
			left := time.Hour
			isolated := !now.Before(cutAt) && now.Before(healed)
			switch {
			case !isolated && now.Before(cutAt):
				al = &former
			case isolated && g == 0:
				al, left = &former, leaseEnds.Sub(now)
			case !now.Before(assigned.Add(movementOverlap)):
				al = &successor
			}
			ok := m.take(g, al, left, now)
			if !isolated {
				continue
			}
			side := min(g, 1)
			m.asked[side]++
			if ok {
				m.served[side]++
			}
		}
	}
}

// TestRateWhileAllocationMoves guards against more requests than the rate allows while the allocator is cut off and another
// one takes over, and measures what the workspace loses meanwhile.
func TestRateWhileAllocationMoves(t *testing.T) {
	const window, overage, slack = 5 * time.Second, 1.1, 20
	for _, gateways := range []int{3, 9, 84} {
		for _, demand := range []float64{0.6, 1, 4} {
			t.Run(fmt.Sprint(gateways, " gateways, demand ", demand), func(t *testing.T) {
				is := is.New(t)
				var served, asked [2]int
				const runs = 20
				for seed := range uint64(runs) {
					m := &movement{gateways: gateways, rng: rand.New(rand.NewPCG(seed, 6)), reserves: make([]Bucket, gateways)}
					for g := range m.reserves {
						m.reserves[g] = NewBucket(1, noon)
					}
					m.run(demand)
					most := mostWithin(m.spent, window)
					is.True(float64(most) <= (movementRate*window.Seconds()+movementBurst)*overage+slack)
					for side := range served {
						served[side] += m.served[side]
						asked[side] += m.asked[side]
					}
				}
				allowed := min(demand, 1) * movementRate * movementCut.Seconds() * runs
				t.Logf("served %.0f%% of what the rate allows over the cut; of what was asked: cut-off gateway %.0f%%, others %.0f%%",
					100*float64(served[0]+served[1])/allowed, 100*float64(served[0])/float64(asked[0]),
					100*float64(served[1])/float64(asked[1]))
			})
		}
	}
}

// mostWithin returns the largest number of times within any window of the given length.
func mostWithin(times []time.Time, window time.Duration) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
