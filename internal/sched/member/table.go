package member

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// forgetAfterTTLs is how many TTLs after its last report a sidecar is forgotten.
const forgetAfterTTLs = 20

// Table maps instances to their sidecars. It is immutable; With methods return modified copies.
type Table struct {
	// TTL is how long after its last report a sidecar counts as alive.
	TTL   time.Duration
	nodes map[string]Node
}

// NewTable returns an empty table.
func NewTable(ttl time.Duration) Table { return Table{TTL: ttl} }

// WithReport returns a table with the node's latest report and without nodes whose last report is too old.
func (t Table) WithReport(n Node) Table {
	t = t.with(n)
	maps.DeleteFunc(t.nodes, func(_ string, o Node) bool {
		return n.LastReport.Sub(o.LastReport) > forgetAfterTTLs*t.TTL
	})
	return t
}

// WithSent returns a table that counts one more request sent to the instance since its last report.
func (t Table) WithSent(instance string) Table {
	n, ok := t.nodes[instance]
	if !ok {
		return t
	}
	n.SentSinceReport++
	return t.with(n)
}

// WithSuspect returns a table in which the instance counts as dead until its next report.
func (t Table) WithSuspect(instance string) Table {
	n, ok := t.nodes[instance]
	if !ok {
		return t
	}
	n.LastReport = n.LastReport.Add(-t.TTL - time.Nanosecond)
	return t.with(n)
}

func (t Table) with(n Node) Table {
	m := make(map[string]Node, len(t.nodes)+1)
	maps.Copy(m, t.nodes)
	m[n.Instance] = n
	t.nodes = m
	return t
}

// IsAlive reports whether the node's last report is no older than TTL.
func (t Table) IsAlive(n Node, now time.Time) bool { return now.Sub(n.LastReport) <= t.TTL }

// Instance returns the node of the instance if it is alive.
func (t Table) Instance(instance string, now time.Time) (Node, bool) {
	n, ok := t.nodes[instance]
	return n, ok && t.IsAlive(n, now)
}

// Contains reports whether the instance has reported and is not forgotten, whether alive or dead.
func (t Table) Contains(instance string) bool {
	_, ok := t.nodes[instance]
	return ok
}

// OnVM returns the live node on the VM with the latest report.
func (t Table) OnVM(vm string, now time.Time) (Node, bool) {
	var best Node
	for _, n := range t.nodes {
		if n.VM == vm && t.IsAlive(n, now) && n.LastReport.After(best.LastReport) {
			best = n
		}
	}
	return best, best.VM != ""
}

// Alive returns the live nodes that keep accepts, sorted by VM.
func (t Table) Alive(now time.Time, keep func(Node) bool) []Node {
	var out []Node
	for _, n := range t.nodes {
		if t.IsAlive(n, now) && keep(n) {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Len returns the number of nodes, including dead ones.
func (t Table) Len() int { return len(t.nodes) }

// All returns the nodes that keep accepts, including dead ones.
func (t Table) All(keep func(Node) bool) []Node {
	var out []Node
	for _, n := range t.nodes {
		if keep(n) {
			out = append(out, n)
		}
	}
	return out
}

// LastKnown returns the last known state of the instance, alive or dead. If the instance is unknown, only Instance and
// VM are set.
func (t Table) LastKnown(instance string) Node {
	if n, ok := t.nodes[instance]; ok {
		return n
	}
	vm, _, _ := strings.Cut(instance, ".")
	return Node{Instance: instance, VM: vm}
}
