package affin

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func idle(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].Hash = Hash(fmt.Sprint("i-", i))
	}
	return out
}

// naive sorts the candidates by their weight for the object and walks them in that order.
func naive(p Policy, object string, candidates []Candidate, mean float64) Choice {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(weight(Hash(object), candidates[b].Hash), weight(Hash(object), candidates[a].Hash))
	})
	for n, i := range order {
		if candidates[i].Load <= p.Factor*mean+p.Headroom {
			return Choice{Index: i, First: n == 0}
		}
	}
	return Choice{Index: -1}
}

// TestChooseMatchesReference compares the choice with a sorted walk over random loads.
func TestChooseMatchesReference(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	p := DefaultPolicy()
	for range 5000 {
		cs := idle(rng.IntN(30))
		sum := 0.0
		for i := range cs {
			cs[i].Load = rng.Float64() * 3
			sum += cs[i].Load
		}
		mean := sum / float64(max(1, len(cs)))
		object := fmt.Sprint(rng.IntN(4000))
		is.Equal(p.Choose(object, cs, mean), naive(p, object, cs, mean))
	}
}

// TestProcessesAgree guards against a choice that depends on the order in which a process learned of the upstreams.
func TestProcessesAgree(t *testing.T) {
	is := is.New(t)
	a, b := idle(42), idle(42)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(b), func(i, j int) { b[i], b[j] = b[j], b[i] })
	for o := range 4000 {
		object := fmt.Sprint(o)
		is.Equal(a[DefaultPolicy().Choose(object, a, 0).Index], b[DefaultPolicy().Choose(object, b, 0).Index])
	}
}

// TestJoinAndLeaveMoveFewObjects guards against upstreams that lose the objects they handled when another one joins or
// leaves. An object may move only to the upstream that joined, or away from the one that left.
func TestJoinAndLeaveMoveFewObjects(t *testing.T) {
	is := is.New(t)
	const objects, upstreams = 4000, 42
	all, fewer := idle(upstreams), idle(upstreams-1)
	moved := 0
	for o := range objects {
		with := all[DefaultPolicy().Choose(fmt.Sprint(o), all, 0).Index].Hash
		without := fewer[DefaultPolicy().Choose(fmt.Sprint(o), fewer, 0).Index].Hash
		if with != without {
			moved++
			is.Equal(with, all[upstreams-1].Hash)
		}
	}
	t.Logf("%d of %d objects move with one of %d upstreams", moved, objects, upstreams)
	is.True(moved > objects/upstreams/2 && moved < objects/upstreams*2)
}

// TestOverloadedUpstreamIsPassedOver covers an upstream that is busier than others, slow or failing: its objects go to
// the next one in their order until its load is near the mean again.
func TestOverloadedUpstreamIsPassedOver(t *testing.T) {
	tests := []struct {
		name       string
		load, mean float64
		first      bool
	}{
		{"idle service", 0, 0, true},
		{"half full in an idle service", 0.5, 0, true},
		{"full in an idle service", 1, 0, false},
		{"near the mean of a full service", 1.3, 1, true},
		{"above the mean of a full service", 2, 1, false},
		{"failing", 3.4, 0.3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cs := idle(21)
			for i := range cs {
				cs[i].Load = tt.mean
			}
			at := DefaultPolicy().Choose("17", idle(21), 0).Index
			cs[at].Load = tt.load
			c := DefaultPolicy().Choose("17", cs, tt.mean)
			is.Equal(c.First, tt.first)
			is.Equal(c.Index == at, tt.first)
			without := slices.Delete(slices.Clone(cs), at, at+1)
			if !tt.first { // The next one is the first of those that remain.
				is.Equal(cs[c.Index], without[DefaultPolicy().Choose("17", without, tt.mean).Index])
			}
		})
	}
}

// TestNoCandidateWithinTheLimit covers a service whose upstreams are all slow or failing.
func TestNoCandidateWithinTheLimit(t *testing.T) {
	is := is.New(t)
	cs := idle(3)
	for i := range cs {
		cs[i].Load = 5
	}
	is.Equal(DefaultPolicy().Choose("17", cs, 0.1).Index, -1)
	is.Equal(DefaultPolicy().Choose("17", nil, 0).Index, -1)
}
