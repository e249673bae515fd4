// Package route picks upstreams and the nodes that hold programs. Load reports lag behind, so a choice takes the best
// of a few random candidates and counts the requests sent since the report. This avoids herding, where all entries send
// to the node that looks idle.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"galenaward.example/galenaward/internal/sched/member"
)

// pickCandidates is the number of random nodes of which the best is picked.
const pickCandidates = 3

// Policy weighs distance and cached state against load.
type Policy struct {
	// RemotePenalty is how much lower the load of an upstream in another data centre must be for it to be preferred
	// to a near one.
	RemotePenalty float64
	// CacheMissPenalty is how much lower the load of another upstream must be for it to be preferred to the one that
	// holds a program's cache.
	CacheMissPenalty float64
}

// DefaultPolicy returns the default weights.
func DefaultPolicy() Policy { return Policy{RemotePenalty: 0.25, CacheMissPenalty: 1.5} }

// Score returns the load of the node as seen from the data centre; lower is better.
func (p Policy) Score(n member.Node, from string) float64 {
	s := n.Load()
	if n.DataCentre != from {
		s += p.RemotePenalty
	}
	return s
}

// Pick returns the best of a few random nodes and one random node of the data centre; ok is false if there are no
// nodes.
func (p Policy) Pick(nodes []member.Node, from string, rng *rand.Rand) (member.Node, bool) {
	if len(nodes) == 0 {
		return member.Node{}, false
	}
	best := nodes[rng.IntN(len(nodes))]
	for range pickCandidates - 1 {
		best = p.better(best, nodes[rng.IntN(len(nodes))], from)
	}
	if n, ok := randomNear(nodes, from, rng); ok {
		best = p.better(best, n, from)
	}
	return best, true
}

// randomNear returns a random node of the data centre. It does not copy the list, since there may be thousands of
// nodes.
func randomNear(nodes []member.Node, dataCentre string, rng *rand.Rand) (member.Node, bool) {
	count := 0
	for i := range nodes {
		if nodes[i].DataCentre == dataCentre {
			count++
		}
	}
	if count == 0 {
		return member.Node{}, false
	}
	skip := rng.IntN(count)
	for i := range nodes {
		if nodes[i].DataCentre != dataCentre {
			continue
		}
		if skip == 0 {
			return nodes[i], true
		}
		skip--
	}
	return member.Node{}, false
}

func (p Policy) better(a, b member.Node, from string) member.Node {
	if p.Score(b, from) < p.Score(a, from) {
		return b
	}
	return a
}

// Order returns up to limit nodes in the order in which to try them. The node on the VM that holds the program's cache
// comes first unless the picked node's load is lower by more than CacheMissPenalty. The picked node is the best of a
// few random ones; the rest follow by load.
func (p Policy) Order(nodes []member.Node, cacheVM, from string, limit int, rng *rand.Rand) []member.Node {
	rest := slices.Clone(nodes)
	var out []member.Node
	if i := slices.IndexFunc(rest, func(n member.Node) bool { return n.VM == cacheVM }); i >= 0 {
		out = append(out, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	if n, ok := p.Pick(rest, from, rng); ok {
		out = p.insert(out, n, from)
		rest = slices.DeleteFunc(rest, func(o member.Node) bool { return o.VM == n.VM })
	}
	slices.SortStableFunc(rest, func(a, b member.Node) int { return cmp.Compare(p.Score(a, from), p.Score(b, from)) })
	out = append(out, rest...)
	return out[:min(limit, len(out))]
}

// insert adds the picked node, in front of the one with the cache if that one's load is higher by more than
// CacheMissPenalty.
func (p Policy) insert(out []member.Node, n member.Node, from string) []member.Node {
	if len(out) == 1 && p.Score(n, from)+p.CacheMissPenalty < p.Score(out[0], from) {
		return []member.Node{n, out[0]}
	}
	return append(out, n)
}
