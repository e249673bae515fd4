// Package owner manages the partitions of program history that this process holds. The platform's store assigns the
// partitions to the members of a group. A member that is assigned a partition first fences the previous holder and
// then loads the partition. Appends by the previous holder fail from then on, so two processes never confirm turns of
// the same partition.
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
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// heartbeatInterval is the time between two heartbeats that renew the group membership.
	heartbeatInterval = 300 * time.Millisecond
	// callTimeout is the timeout of group calls other than heartbeats.
	callTimeout = 350 * time.Millisecond
	// missedHeartbeatsWarn is the number of consecutive unanswered heartbeats after which a warning is logged.
	missedHeartbeatsWarn = 3
	// memberTTL is the time without a heartbeat after which the store reassigns a member's partitions. It covers three
	// heartbeats and one that timed out.
	memberTTL = 1500 * time.Millisecond
	// rebalanceInterval is the time between two heartbeats while partitions are being reassigned, and after one that the
	// store did not answer. The store's limit on calls per second counts a heartbeat as a tenth of a call.
	rebalanceInterval = 40 * time.Millisecond
	// settleTime is how long assignments are not applied after this membership lapsed. It covers the time in which all
	// members notice that the store has returned.
	settleTime = 250 * time.Millisecond
	// rebalanceHeartbeats is the number of heartbeats sent at rebalanceInterval after a change of the group.
	rebalanceHeartbeats = 8
	// handoverTimeout bounds the wait for running turns and unconfirmed appends before a partition is released. Turns
	// that are still running then are sent to the new holder when they end.
	handoverTimeout      = 60 * time.Millisecond
	handoverPollInterval = 5 * time.Millisecond
	// openRetryDelay is the time between two attempts to open a partition.
	openRetryDelay = 100 * time.Millisecond
	// minRefreshInterval is the minimum time between two reads of the partition holders outside the heartbeat.
	minRefreshInterval = 100 * time.Millisecond
	expireInterval     = 2 * time.Second
	// leaveRetryInterval is the time between two attempts to end the membership of a process that stops.
	leaveRetryInterval = 100 * time.Millisecond
	// minExpelInterval is the minimum time between two attempts to expel the same member.
	minExpelInterval = time.Second
)

// errLeaving is returned when a heartbeat is skipped because this process is leaving the group.
var errLeaving = errors.New("leaving")

// Store is the part of the platform's store that an Owner uses.
type Store interface {
	store.Log
	store.Group
}

// Owner is a member of the group and manages the partitions assigned to it. It is safe for concurrent use.
type Owner struct {
	store      Store
	partitions int
	member     string
	limits     Limits
	logEvent   func(event string, kv ...any)
	// isolated reports whether this process is cut off from the store while its peers reach it.
	isolated func() bool
	group    *group.Group

	mu         sync.Mutex
	generation int64
	joined     bool
	held       map[int]*Partition
	// cancels stops the goroutines of each partition that is being opened or is held.
	cancels map[int]context.CancelFunc
	// epochs holds the epoch of the last opening of each partition by this process. An epoch is never used twice.
	epochs map[int]int64
	// lease covers the partitions in assignedSince: until it expires, the store gives them to no other member.
	lease rate.Lease
	// assignedSince is when the store assigned each partition to this process, whether it is open yet or not.
	assignedSince map[int]time.Time
	// holders maps each partition to the member that holds it, as last reported by the store.
	holders     map[int]string
	refreshedAt time.Time
	leaving     bool
	// withdrawn is set while this process stays out of the group because it is isolated. Only the loop in Run uses it.
	withdrawn bool
	// expelledAt is when this process last asked the store to expel each member.
	expelledAt map[string]time.Time

	// membershipSem admits one Join or Leave call at a time. A heartbeat that reached the store after Leave would start
	// a new membership for a process that no longer serves any partition.
	membershipSem chan struct{}

	// refreshing shares one read among concurrent calls of RefreshOwners.
	refreshing singleflight.Group
	// heartbeatNow makes Run send a heartbeat at once.
	heartbeatNow chan struct{}
	timeouts     adaptiveTimeout
	// missedHeartbeats counts consecutive unanswered heartbeats, heartbeatAt is when the store answered the last one, and
	// until settleUntil assignments are not applied. Only the loop in Run uses them.
	missedHeartbeats         int
	heartbeatAt, settleUntil time.Time
}

// Option configures an Owner.
type Option func(*Owner)

// WithEventLog sets the function that logs events.
func WithEventLog(f func(event string, kv ...any)) Option { return func(o *Owner) { o.logEvent = f } }

// WithIsolationCheck sets the function that reports whether this process is isolated: cut off from the store while its
// peers reach it. While that is so, the owner releases its partitions and stays out of the group.
func WithIsolationCheck(f func() bool) Option { return func(o *Owner) { o.isolated = f } }

// WithLimits sets the limits of the store.
func WithLimits(l Limits) Option { return func(o *Owner) { o.limits = l } }

// New returns an Owner that holds no partitions yet. Peers reach this process at address.
func New(g *group.Group, s Store, partitions int, address string, opts ...Option) *Owner {
	o := &Owner{
		store: s, partitions: partitions, group: g, limits: DefaultLimits(),
		member:   address + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		logEvent: func(string, ...any) {}, isolated: func() bool { return false }, held: make(map[int]*Partition),
		cancels: make(map[int]context.CancelFunc), epochs: make(map[int]int64), holders: make(map[int]string),
		assignedSince: make(map[int]time.Time),
		expelledAt:    make(map[string]time.Time), heartbeatNow: make(chan struct{}, 1),
		membershipSem: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// PartitionOf returns the partition for a program or any other key.
func (o *Owner) PartitionOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(o.partitions))
}

// HeldPartition returns the partition if this process holds it and has loaded its accounts.
func (o *Owner) HeldPartition(id int) (*Partition, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.held[id]
	return p, ok
}

// Assigned reports whether the store assigned the partition to this process, as far as it knows. Its lease may have
// ended, and the partition may not be open yet.
func (o *Owner) Assigned(id int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.assignedSince[id]
	return ok
}

// HeldPartitions returns all partitions that HeldPartition would return.
func (o *Owner) HeldPartitions() []*Partition {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*Partition, 0, len(o.held))
	for _, p := range o.held {
		out = append(out, p)
	}
	return out
}

// AddressOf returns the address of the partition's holder and whether that is this process.
func (o *Owner) AddressOf(id int) (address string, self, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, ok := o.holders[id]
	return addressOf(m), m == o.member, ok
}

// Peers returns the sorted addresses of all other members that hold partitions.
func (o *Owner) Peers() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, m := range o.holders {
		if a := addressOf(m); m != o.member && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// CanRoute reports whether this process has joined the group or at least knows holders of partitions.
func (o *Owner) CanRoute() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.joined || len(o.holders) > 0
}

// Owners returns the holders of the partitions as last reported by the store.
func (o *Owner) Owners() []store.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []store.Owner
	for id, m := range o.holders {
		out = append(out, store.Owner{Partition: id, Member: m})
	}
	return out
}

func addressOf(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// Run joins the group and keeps the membership until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	o.endFormerMembership(ctx)
	next := time.NewTimer(0)
	defer next.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	quickHeartbeats := rebalanceHeartbeats
	sendHeartbeat := func() {
		if o.withdrawIfIsolated(ctx) {
			next.Reset(heartbeatInterval)
			return
		}
		if o.heartbeat(ctx) {
			quickHeartbeats = rebalanceHeartbeats
		}
		pause := heartbeatInterval
		switch {
		case o.missedHeartbeats > 0:
			pause = rebalanceInterval
		case quickHeartbeats > 0:
			quickHeartbeats--
			pause = rebalanceInterval
		}
		next.Reset(pause)
	}
	for {
		select {
		case <-next.C:
			sendHeartbeat()
		case <-o.heartbeatNow:
			sendHeartbeat()
		case now := <-expire.C:
			for _, p := range o.HeldPartitions() {
				p.expire(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// endFormerMembership ends the membership of an earlier process at this address. That process is gone, and its
// partitions would otherwise stay unassigned until its membership expired.
func (o *Owner) endFormerMembership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, err := o.store.Owners(ctx)
	if err != nil {
		o.logEvent("owners_unread", "cause", err)
		return
	}
	o.setHolders(owners)
	ended := ""
	for _, ow := range owners {
		if addressOf(ow.Member) != addressOf(o.member) || ow.Member == o.member || ow.Member == ended {
			continue
		}
		ended = ow.Member
		if err := o.store.Leave(ctx, ow.Member); err != nil {
			o.logEvent("former_member_stays", "member", ow.Member, "cause", err)
		}
	}
}
