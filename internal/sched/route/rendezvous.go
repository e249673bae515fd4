package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"galenaward.example/galenaward/internal/sched/member"
)

// Rendezvous sorts the nodes by highest random weight for the key (rendezvous hashing). Processes that see the same
// nodes agree on the order, and a node that joins or leaves moves only its own keys.
func Rendezvous(key string, nodes []member.Node) []member.Node {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b member.Node) int { return cmp.Compare(weight(key, b.VM), weight(key, a.VM)) })
	return out
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Owners returns the slots, out of the given number, that own a share of the workspace's rate; at most shares of
// them.
func Owners(workspace string, slots, shares int64) []int64 {
	all := make([]int64, slots)
	for i := range all {
		all[i] = int64(i)
	}
	slices.SortFunc(all, func(a, b int64) int {
		return cmp.Compare(slotWeight(workspace, b), slotWeight(workspace, a))
	})
	return all[:min(shares, slots)]
}

func slotWeight(workspace string, slot int64) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + string(rune(slot)))
}
