package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"galenaward.example/galenaward/internal/sched/crash"
	"galenaward.example/galenaward/internal/sched/member"
	"galenaward.example/galenaward/internal/sched/route"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/peer"
)

const (
	crashRecordTTL = 10 * time.Minute
	// maxCandidates is the maximum number of upstreams tried for one call.
	maxCandidates = 3
	// maxHolders is the number of cached holders at which the cache is cleared.
	maxHolders = 100_000
)

// nodes holds the table of sidecars, the crash records of requests, and a cache of the programs' holders. Readers load
// the tables without a lock.
type nodes struct {
	dataCentre string
	policy     route.Policy
	started    time.Time
	leaving    func(vm string) bool

	members    atomic.Pointer[member.Table]
	crashTable atomic.Pointer[crash.Table]

	mu      sync.Mutex
	holders map[string]string
}

func newNodes(dataCentre string, life time.Duration, leaving func(string) bool) *nodes {
	n := &nodes{
		dataCentre: dataCentre, policy: route.DefaultPolicy(), started: time.Now(), leaving: leaving,
		holders: make(map[string]string),
	}
	t := member.NewTable(life)
	n.members.Store(&t)
	p := crash.NewTable(crashRecordTTL)
	n.crashTable.Store(&p)
	return n
}

// update replaces the table of sidecars. Writers are serialised by mu.
func (n *nodes) update(f func(member.Table) member.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := f(*n.members.Load())
	n.members.Store(&t)
}

// Report records a sidecar's heartbeat and the crash records that it carries.
func (n *nodes) Report(r *ctlpb.ReportRequest) {
	now := time.Now()
	n.update(func(t member.Table) member.Table {
		return t.WithReport(member.Node{
			VM: r.Vm, Instance: r.Instance, Address: r.Address, DataCentre: r.DataCentre, Service: r.Service,
			Models: r.Models, Running: int(r.Running), Queued: int(r.Queued), Capacity: int(r.Capacity),
			Up: r.UpstreamUp, Leaving: r.Leaving, LastReport: now,
		})
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	p := *n.crashTable.Load()
	for _, c := range r.Crashes {
		for _, e := range c.Events {
			p = p.WithCrash([]uint64{c.Fingerprint}, e, now)
		}
	}
	n.crashTable.Store(&p)
}

// Crashes returns the fingerprints of requests that ran during crashes of engines, with the ids of the crashes.
func (n *nodes) Crashes() []peer.CrashRecord {
	var out []peer.CrashRecord
	n.crashTable.Load().Each(time.Now(), func(f uint64, events []string) {
		out = append(out, peer.CrashRecord{Fingerprint: f, CrashIDs: events})
	})
	return out
}

// RecordSent counts a request sent to the instance, which the instance's last report does not include.
func (n *nodes) RecordSent(instance string) {
	n.update(func(t member.Table) member.Table { return t.WithSent(instance) })
}

// Suspect marks an instance as dead until it reports again.
func (n *nodes) Suspect(instance string) {
	n.update(func(t member.Table) member.Table { return t.WithSuspect(instance) })
}

// acceptsWork reports whether the node takes new work.
func (n *nodes) acceptsWork(o member.Node) bool { return o.Up && !o.Leaving && !n.leaving(o.VM) }

// liveEngines returns the live nodes that serve the model and take new work.
func (n *nodes) liveEngines(model string) []member.Node {
	return n.members.Load().Alive(time.Now(), func(o member.Node) bool { return n.acceptsWork(o) && o.Serves(model) })
}

// NewHome chooses the home of a new program, among the nodes that serve its model.
func (n *nodes) NewHome(model string) (member.Node, bool) {
	return n.policy.Pick(n.liveEngines(model), n.dataCentre, newRand())
}

// newRand returns a randomly seeded source for a single decision.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// EngineCandidates returns the engines to try for a program whose home is on the VM.
func (n *nodes) EngineCandidates(model, homeVM string) []peer.Candidate {
	return candidates(n.policy.Order(n.liveEngines(model), homeVM, n.dataCentre, maxCandidates, newRand()))
}

// ServiceCandidates returns the upstreams to try for a service.
func (n *nodes) ServiceCandidates(service string) []peer.Candidate {
	live := n.members.Load().Alive(time.Now(), func(o member.Node) bool {
		return n.acceptsWork(o) && o.Service == service
	})
	return candidates(n.policy.Order(live, "", n.dataCentre, maxCandidates, newRand()))
}

func candidates(nodes []member.Node) []peer.Candidate {
	out := make([]peer.Candidate, 0, len(nodes))
	for _, o := range nodes {
		out = append(out, peer.Candidate{VM: o.VM, Instance: o.Instance, Address: o.Address})
	}
	return out
}

// knowsModel reports whether any sidecar, live or not, has reported the model.
func (n *nodes) knowsModel(model string) bool {
	return len(n.members.Load().All(func(o member.Node) bool { return o.Serves(model) })) > 0
}

// knowsService reports whether any sidecar, live or not, has reported the service.
func (n *nodes) knowsService(service string) bool {
	return len(n.members.Load().All(func(o member.Node) bool { return o.Service == service })) > 0
}

// homeTarget is the sidecar to which a request for a program is sent.
type homeTarget struct {
	node     member.Node
	location peer.Location
}

// Home returns the sidecar to which requests for the tree are sent: its holder or, if the holder counts as dead, the
// successor. An entry that has just started waits for the first report of a holder that has not reported to it yet.
func (n *nodes) Home(root, first string) (homeTarget, bool) {
	holder := n.holder(root, first)
	t := n.members.Load()
	homes := n.liveHomes()
	if node, ok := t.Instance(holder, time.Now()); ok {
		return homeTarget{node: node, location: peer.Location{Standby: pickStandby(root, node, homes).Address}}, true
	}
	if !t.Contains(holder) && time.Since(n.started) < t.TTL {
		return homeTarget{}, false
	}
	earlier := pickStandby(root, t.LastKnown(holder), homes)
	next, ok := n.successor(holder, earlier)
	if !ok {
		return homeTarget{}, false
	}
	location := peer.Location{
		Suspect:         holder,
		EarlierStandbys: standbyAddresses(root, prog.VMOf(holder), homes),
		Standby:         pickStandby(root, next, homes).Address,
	}
	return homeTarget{node: next, location: location}, true
}

// maxStandbys is the maximum number of sidecars that are asked for held records at a takeover.
const maxStandbys = 16

// standbyAddresses returns the addresses of the sidecars that may hold records of the VM's programs, most likely first.
func standbyAddresses(root, vm string, homes []member.Node) []string {
	var out []string
	for _, o := range route.Rendezvous(root, homes) {
		if o.VM != vm && len(out) < maxStandbys {
			out = append(out, o.Address)
		}
	}
	return out
}

// liveHomes returns the live sidecars that can be homes of programs.
func (n *nodes) liveHomes() []member.Node {
	return n.members.Load().Alive(time.Now(), func(o member.Node) bool { return o.Service == "" && !n.leaving(o.VM) })
}

// successor returns the sidecar that takes over from the holder: a new process on the holder's VM, whose engine still
// has the program's cache, or else the standby.
func (n *nodes) successor(holder string, standby member.Node) (member.Node, bool) {
	if node, ok := n.members.Load().OnVM(prog.VMOf(holder), time.Now()); ok && !node.Leaving {
		return node, true
	}
	return standby, standby.VM != ""
}

// Standby returns the sidecar that holds records of the program while the log is unavailable.
func (n *nodes) Standby(root string, home member.Node) member.Node {
	return pickStandby(root, home, n.liveHomes())
}

// pickStandby returns the first sidecar in rendezvous order that is in another data centre than the home, or else the
// first one on another VM.
func pickStandby(root string, home member.Node, homes []member.Node) member.Node {
	var near member.Node
	for _, o := range route.Rendezvous(root, homes) {
		switch {
		case o.VM == home.VM || o.Leaving:
		case o.DataCentre != home.DataCentre:
			return o
		case near.VM == "":
			near = o
		}
	}
	return near
}

func (n *nodes) holder(root, first string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, ok := n.holders[root]; ok {
		return h
	}
	return first
}

// SetHolder caches the holder of a tree.
func (n *nodes) SetHolder(root, holder string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.holders) >= maxHolders {
		clear(n.holders)
	}
	n.holders[root] = holder
}

// alive reports whether the instance has reported recently and is not suspected.
func (n *nodes) alive(instance string) bool {
	_, ok := n.members.Load().Instance(instance, time.Now())
	return ok
}
