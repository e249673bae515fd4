// Package owner holds partitions of program history. The platform's store spreads the partitions over the members
// of a group. A member that gains a partition first fences its former holder, then reads it; appends of the former
// holder fail from then on, so no two processes ever confirm turns of the same partition.
package owner

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// joinEvery is the time between two heartbeats of the membership.
	joinEvery = 300 * time.Millisecond
	// joinTimeout bounds one heartbeat while the store is quick, and other calls.
	joinTimeout = 350 * time.Millisecond
	// missedWarn is the number of heartbeats in a row without an answer that is logged.
	missedWarn = 3
	// memberTTL is the silence after which the store gives a member's partitions to others; it covers three
	// heartbeats and one that got no answer.
	memberTTL = 1500 * time.Millisecond
	// settleEvery is the time between two heartbeats while partitions change hands. A heartbeat counts as a tenth of a
	// call.
	settleEvery = 40 * time.Millisecond
	// settleRounds is how many quick heartbeats follow a change.
	settleRounds = 8
	// handoverPatience is how long a partition that moves away waits for its appends to be confirmed. Turns under way
	// are handed to the new holder when they end.
	handoverPatience = 60 * time.Millisecond
	handoverStep     = 5 * time.Millisecond
	// openPause is the time between two tries to open a partition.
	openPause = 100 * time.Millisecond
	// lookEvery is the least time between two readings of the owners outside of the heartbeat.
	lookEvery   = 100 * time.Millisecond
	expireEvery = 2 * time.Second
	// expelEvery is the least time between two tries to end the membership of the same process.
	expelEvery = time.Second
)

// errLeaving means that the membership is being given up.
var errLeaving = errors.New("leaving")

// Backing is what an owner needs of the store.
type Backing interface {
	store.Log
	store.Group
}

// Owner takes part in the group and holds partitions. It is safe for concurrent use.
type Owner struct {
	backing    Backing
	partitions int
	member     string
	note       func(event string, kv ...any)
	cut        func() bool
	group      *group.Group

	mu         sync.Mutex
	generation int64
	joined     bool
	held       map[int]*Partition
	ending     map[int]context.CancelFunc
	// assigned is since when the store has assigned each partition to this process, opened or not.
	assigned map[int]time.Time
	// members names the holder of each partition as the store last told.
	members map[int]string
	looked  time.Time
	leaving bool
	// withdrawn says that the membership was given up because this process is cut off from the store. Only the loop of
	// Run changes it.
	withdrawn bool
	// expelled is when a member's end was last told to the store.
	expelled map[string]time.Time

	// membership has room for one: a call that begins or ends the membership. A heartbeat that the store takes behind the
	// end of the membership would begin a new one, of a process that holds nothing.
	membership chan struct{}

	looking singleflight.Group
	poked   chan struct{}
	pace    pace
	// missed counts heartbeats in a row that got no answer; only the loop of Run uses it.
	missed int
}

// Option configures an owner.
type Option func(*Owner)

// WithNote sets the function that logs what the owner does.
func WithNote(f func(event string, kv ...any)) Option { return func(o *Owner) { o.note = f } }

// WithCut sets the function that tells whether peers reach the store and this process does not. Such a process gives its
// partitions to others.
func WithCut(f func() bool) Option { return func(o *Owner) { o.cut = f } }

// New returns an owner of no partitions. The address is where peers reach this process.
func New(g *group.Group, b Backing, partitions int, address string, opts ...Option) *Owner {
	o := &Owner{
		backing: b, partitions: partitions, group: g,
		member: address + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		note:   func(string, ...any) {}, cut: func() bool { return false }, held: make(map[int]*Partition),
		ending: make(map[int]context.CancelFunc), members: make(map[int]string),
		assigned: make(map[int]time.Time),
		expelled: make(map[string]time.Time), poked: make(chan struct{}, 1),
		membership: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// PartitionOf returns the partition of a program, or of any other key.
func (o *Owner) PartitionOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(o.partitions))
}

// Held returns the partition if this process holds it and has read it.
func (o *Owner) Held(id int) (*Partition, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.held[id]
	return p, ok
}

// Assigned returns since when the store has assigned the partition to this process. The partition may not be open yet, so
// this serves only for what is not kept in it.
func (o *Owner) Assigned(id int) (since time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok = o.assigned[id]
	return since, ok
}

// AllHeld returns the partitions that this process holds.
func (o *Owner) AllHeld() []*Partition {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*Partition, 0, len(o.held))
	for _, p := range o.held {
		out = append(out, p)
	}
	return out
}

// AddressOf returns where the holder of the partition is reached.
func (o *Owner) AddressOf(id int) (address string, self, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, ok := o.members[id]
	return addressOf(m), m == o.member, ok
}

// Peers returns the addresses of all other members that hold partitions.
func (o *Owner) Peers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, m := range o.members {
		if a := addressOf(m); m != o.member && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// Located reports whether this process belongs to the group, or knows at least who holds the partitions.
func (o *Owner) Located() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.joined || len(o.members) > 0
}

// Owners returns who holds the partitions as the store last told.
func (o *Owner) Owners() []store.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []store.Owner
	for id, m := range o.members {
		out = append(out, store.Owner{Partition: id, Member: m})
	}
	return out
}

func addressOf(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// Run keeps the membership until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	o.evictFormer(ctx)
	next := time.NewTimer(0)
	defer next.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	rounds := settleRounds
	beat := func() {
		if o.keepOut(ctx) {
			next.Reset(joinEvery)
			return
		}
		if o.heartbeat(ctx) {
			rounds = settleRounds
		}
		pause := joinEvery
		if rounds > 0 {
			rounds--
			pause = settleEvery
		}
		next.Reset(pause)
	}
	for {
		select {
		case <-next.C:
			beat()
		case <-o.poked:
			beat()
		case now := <-expire.C:
			for _, p := range o.AllHeld() {
				p.expire(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// evictFormer ends the membership of an earlier process at this address, which is gone, so that its partitions need
// not wait for its silence to be noticed.
func (o *Owner) evictFormer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := o.backing.Owners(ctx)
	if err != nil {
		o.note("owners_unread", "cause", err)
		return
	}
	o.locate(owners)
	done := ""
	for _, w := range owners {
		if addressOf(w.Member) != addressOf(o.member) || w.Member == o.member || w.Member == done {
			continue
		}
		done = w.Member
		if err := o.backing.Leave(ctx, w.Member); err != nil {
			o.note("former_member_stays", "member", w.Member, "cause", err)
		}
	}
}

// Poke makes the next heartbeat come at once, because a peer saw that the group changes.
func (o *Owner) Poke() {
	select {
	case o.poked <- struct{}{}:
	default:
	}
}

// heartbeat keeps the membership and reports whether the group changed.
func (o *Owner) heartbeat(ctx context.Context) (changed bool) {
	generation, a, err := o.join(ctx)
	if errors.Is(err, errLeaving) {
		return false
	}
	if err != nil {
		if o.missed++; o.missed == missedWarn && ctx.Err() == nil {
			o.note("membership_unconfirmed", "generation", generation, "missed", o.missed, "cause", err)
		}
		return false
	}
	if o.missed >= missedWarn {
		o.note("membership_confirmed", "generation", a.Generation, "missed", o.missed)
	}
	o.missed = 0
	o.assign(ctx, a)
	if a.Generation == generation {
		return false
	}
	o.note("generation", "from", generation, "to", a.Generation, "partitions", len(a.Partitions))
	o.look(ctx)
	return true
}

// join makes one heartbeat, and returns the generation that it named.
func (o *Owner) join(ctx context.Context) (generation int64, a store.Assignment, err error) {
	o.membership <- struct{}{}
	defer func() { <-o.membership }()
	o.mu.Lock()
	generation, leaving := o.generation, o.leaving
	o.mu.Unlock()
	if leaving {
		return generation, a, errLeaving
	}
	ctx, cancel := context.WithTimeout(ctx, max(joinTimeout, o.pace.timeout(o.missed)))
	defer cancel()
	a, err = o.backing.Join(ctx, o.member, generation, memberTTL)
	return generation, a, err
}

// keepOut ends the membership of a process that is cut off from the store, and reports whether it stays out. It follows
// who holds the partitions through its peers.
func (o *Owner) keepOut(ctx context.Context) bool {
	cut := o.cut()
	switch {
	case cut && !o.withdrawn:
		o.note("withdrawn", "member", o.member)
		o.release(ctx)
	case !cut && o.withdrawn:
		o.note("returned", "member", o.member)
	case cut:
		o.look(ctx)
	}
	o.withdrawn = cut
	return cut
}

// Leave hands all partitions over and ends the membership.
func (o *Owner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	o.release(ctx)
}

// release hands all partitions over and tells the store.
func (o *Owner) release(ctx context.Context) {
	o.mu.Lock()
	clear(o.assigned)
	o.mu.Unlock()
	o.handOver(ctx, o.AllHeld())
	o.leave(ctx)
	o.look(ctx)
}

func (o *Owner) leave(ctx context.Context) {
	o.membership <- struct{}{}
	defer func() { <-o.membership }()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := o.backing.Leave(ctx, o.member); err != nil {
		o.note("leave_failed", "cause", err)
	}
}
