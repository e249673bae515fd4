package gate

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"galenaward.example/galenaward/internal/state/store"
)

const (
	// fallbackAfter is how many direct calls in a row must fail before calls are made through peers.
	fallbackAfter = 2
	// directRetryInterval is how often a direct call is attempted while direct calls fail.
	directRetryInterval = 700 * time.Millisecond
	// maxFallbackPeers bounds the peers that are tried for one call.
	maxFallbackPeers = 2
	// isolatedAfter is how many direct calls must begin after a peer reached the store, fail, and then be made by a peer,
	// before this process counts as isolated from it. When a store recovers, peers may reach it slightly earlier, and
	// calls that began during the outage fail later. Calls that fail for everybody show nothing.
	isolatedAfter = 2
	// fallbackFollowWait bounds how long a Follow call waits for records while direct calls fail, since its answer is
	// what shows that the store is reachable again.
	fallbackFollowWait = 100 * time.Millisecond
)

// fallbackStore is a store client for a store that some gateways may be unable to reach: calls that fail from here are
// made through a peer. Appends may be repeated, since the store applies each once, and records may be published twice
// without harm.
type fallbackStore struct {
	store.Store
	peers     *peerClient
	addresses func() []string
	logEvent  func(event string, kv ...any)
	// retryInterval is the time between two direct calls while they fail.
	retryInterval time.Duration

	mu sync.Mutex
	// routes holds the state of direct calls by what they reach: a partition, or otherCalls. The store may fail for some
	// partitions only.
	routes map[int]*directRoute
	// lastPeer is the peer that reached the store most recently. peerSuccessAt is when the first peer did since the last
	// successful direct call. contradicted counts the direct calls that began later and failed, while a peer then made
	// the same call.
	lastPeer      string
	peerSuccessAt time.Time
	contradicted  int
}

// otherCalls is the key in fallbackStore.routes of calls that concern no partition.
const otherCalls = -1

// directRoute is the state of direct calls to one part of the store. The zero value has no failures.
type directRoute struct {
	// failures counts consecutive failed calls.
	failures int
	lastCall time.Time
}

// failing reports whether calls are made through peers.
func (r *directRoute) failing() bool { return r.failures >= fallbackAfter }

func newFallbackStore(
	direct store.Store, p *peerClient, addresses func() []string, logEvent func(string, ...any),
) *fallbackStore {
	return &fallbackStore{
		Store: direct, peers: p, addresses: addresses, logEvent: logEvent,
		retryInterval: directRetryInterval, routes: make(map[int]*directRoute),
	}
}

// storeRequest is a store call that a peer is asked to make.
type storeRequest struct {
	Call       string         `json:"call"`
	Partition  int            `json:"partition"`
	Fence      store.Fence    `json:"fence"`
	Records    []store.Record `json:"records,omitempty"`
	After      string         `json:"after,omitempty"`
	Feed       store.Feed     `json:"feed"`
	From       int64          `json:"from"`
	WaitMS     int64          `json:"wait_ms"`
	Member     string         `json:"member,omitempty"`
	Generation int64          `json:"generation"`
	TTLMS      int64          `json:"ttl_ms"`
	// take receives the records of a page as they arrive if the call is made by this process.
	take func(store.Record)
}

// storeResponse is the result of the store call that the peer made.
type storeResponse struct {
	Page       store.Page       `json:"page"`
	Records    []store.Record   `json:"records,omitempty"`
	Batch      store.Batch      `json:"batch"`
	Assignment store.Assignment `json:"assignment"`
	Owners     []store.Owner    `json:"owners,omitempty"`
	// Remembered means that the peer could not reach the store and answered from its cache.
	Remembered bool   `json:"remembered,omitempty"`
	Failure    string `json:"failure,omitempty"`
	Cause      string `json:"cause,omitempty"`
}

// storeErrorNames maps the store's errors to their names in the peer protocol.
var storeErrorNames = []struct {
	name string
	err  error
}{
	{"fenced", store.ErrFenced},
	{"sequence", store.ErrSequence},
	{"compacted", store.ErrCompacted},
	{"refused", store.ErrRefused},
	{"invalid", store.ErrInvalid},
	{"unknown", store.ErrOutcomeUnknown},
}

// callStore makes the store call that a request describes.
func callStore(ctx context.Context, s store.Store, q storeRequest) storeResponse {
	var a storeResponse
	var err error
	switch q.Call {
	case "append":
		err = s.Append(ctx, q.Partition, q.Fence, q.Records)
	case "newest":
		take := q.take
		if take == nil {
			take = func(r store.Record) { a.Records = append(a.Records, r) }
		}
		a.Page, err = s.ReadNewest(ctx, q.Partition, q.After, take)
	case "snapshot":
		a.Batch, err = s.Snapshot(ctx, q.Feed)
	case "follow":
		a.Batch, err = s.Follow(ctx, q.Feed, q.From, time.Duration(q.WaitMS)*time.Millisecond)
	case "publish":
		err = s.Publish(ctx, q.Feed, q.Records)
	case "join":
		a.Assignment, err = s.Join(ctx, q.Member, q.Generation, time.Duration(q.TTLMS)*time.Millisecond)
	case "leave":
		err = s.Leave(ctx, q.Member)
	case "owners":
		a.Owners, err = s.Owners(ctx)
	default:
		err = errors.Wrapf(store.ErrRefused, "unknown store call %q", q.Call)
	}
	if err != nil {
		a.Failure, a.Cause = "unknown", err.Error()
		for _, f := range storeErrorNames {
			if errors.Is(err, f.err) {
				a.Failure = f.name
			}
		}
	}
	return a
}

// isDefinite reports whether the result comes from the store itself, as opposed to a failure to reach it.
func isDefinite(err error) bool {
	return err == nil || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) ||
		errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrInvalid)
}

// route returns the key of the part of the store that the call reaches.
func (q storeRequest) route() int {
	if q.Call == "append" || q.Call == "newest" {
		return q.Partition
	}
	return otherCalls
}

// call makes a store call directly, or through peers while direct calls fail.
func (d *fallbackStore) call(ctx context.Context, q storeRequest) (storeResponse, error) {
	var a storeResponse
	err := errors.Wrap(store.ErrRefused, "direct store calls are failing")
	var failedSince time.Time // When the direct call began, if it failed.
	if d.shouldTryDirect(q.route()) {
		if d.failing(q.route()) {
			q.WaitMS = min(q.WaitMS, fallbackFollowWait.Milliseconds())
		}
		began := time.Now()
		a = callStore(ctx, d.Store, q)
		err = a.err()
		if !errors.Is(ctx.Err(), context.Canceled) { // A cancelled call tells nothing about the store.
			d.recordDirectCall(q.route(), isDefinite(err))
		}
		if isDefinite(err) || ctx.Err() != nil {
			return a, err
		}
		failedSince = began
	}
	if !d.failing(q.route()) {
		return a, err
	}
	for _, address := range d.fallbackPeers() {
		b, perr := callPeer[storeResponse](ctx, d.peers, address, storePath, q)
		if perr == nil && isDefinite(b.err()) {
			if !b.Remembered {
				d.recordPeerSuccess(address, failedSince)
			}
			return b, b.err()
		}
		if ctx.Err() != nil {
			break
		}
	}
	return a, err
}

// fallbackPeers returns the peers to try in random order, starting with the one that reached the store most recently.
func (d *fallbackStore) fallbackPeers() []string {
	addresses := d.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(addresses, d.lastPeer); i > 0 {
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	return addresses[:min(maxFallbackPeers, len(addresses))]
}

// recordPeerSuccess records that a peer made a call. failedSince is when this process began the same call without
// success; zero if it did not try.
func (d *fallbackStore) recordPeerSuccess(address string, failedSince time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastPeer = address
	switch {
	case d.peerSuccessAt.IsZero():
		d.peerSuccessAt, d.contradicted = time.Now(), 0
		for _, r := range d.routes {
			r.lastCall = time.Time{} // The store may have returned for this process too.
		}
	case failedSince.After(d.peerSuccessAt):
		d.contradicted++
	}
}

// Isolated reports whether peers reach the store while this process does not.
func (d *fallbackStore) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contradicted >= isolatedAfter
}

// shouldTryDirect reports whether a call to this part of the store should first be made without peers.
func (d *fallbackStore) shouldTryDirect(route int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routeLocked(route)
	if !r.failing() || time.Since(r.lastCall) > d.retryInterval {
		r.lastCall = time.Now()
		return true
	}
	return false
}

func (d *fallbackStore) failing(route int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routeLocked(route).failing()
}

// routeLocked returns the state of direct calls to this part of the store. The caller holds the lock.
func (d *fallbackStore) routeLocked(route int) *directRoute {
	r, ok := d.routes[route]
	if !ok {
		r = &directRoute{}
		d.routes[route] = r
	}
	return r
}

// recordDirectCall records the outcome of a direct call.
func (d *fallbackStore) recordDirectCall(route int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routeLocked(route)
	switch {
	case ok && r.failing():
		d.logEvent("store_direct", "route", route, "failures", r.failures)
	case !ok && r.failures+1 == fallbackAfter:
		d.logEvent("store_detour", "route", route, "failures", r.failures+1)
	}
	if ok {
		r.failures, d.contradicted, d.peerSuccessAt = 0, 0, time.Time{}
		return
	}
	r.failures++
}

func (a storeResponse) err() error {
	if a.Failure == "" {
		return nil
	}
	for _, f := range storeErrorNames {
		if f.name == a.Failure {
			return errors.Wrap(f.err, a.Cause)
		}
	}
	return errors.Wrap(store.ErrOutcomeUnknown, a.Cause)
}

// Append implements store.Log.
func (d *fallbackStore) Append(ctx context.Context, partition int, f store.Fence, records []store.Record) error {
	_, err := d.call(ctx, storeRequest{Call: "append", Partition: partition, Fence: f, Records: records})
	return err
}

// ReadNewest implements store.Log.
func (d *fallbackStore) ReadNewest(
	ctx context.Context, partition int, after string, take func(store.Record),
) (store.Page, error) {
	a, err := d.call(ctx, storeRequest{Call: "newest", Partition: partition, After: after, take: take})
	for _, r := range a.Records {
		take(r)
	}
	return a.Page, err
}

// Snapshot implements store.Feeds.
func (d *fallbackStore) Snapshot(ctx context.Context, f store.Feed) (store.Batch, error) {
	a, err := d.call(ctx, storeRequest{Call: "snapshot", Feed: f})
	return a.Batch, err
}

// Follow implements store.Feeds.
func (d *fallbackStore) Follow(ctx context.Context, f store.Feed, from int64, wait time.Duration) (store.Batch, error) {
	a, err := d.call(ctx, storeRequest{Call: "follow", Feed: f, From: from, WaitMS: wait.Milliseconds()})
	return a.Batch, err
}

// Publish implements store.Feeds.
func (d *fallbackStore) Publish(ctx context.Context, f store.Feed, records []store.Record) error {
	_, err := d.call(ctx, storeRequest{Call: "publish", Feed: f, Records: records})
	return err
}

// Join implements store.Group.
func (d *fallbackStore) Join(
	ctx context.Context, member string, generation int64, ttl time.Duration,
) (store.Assignment, error) {
	a, err := d.call(ctx, storeRequest{Call: "join", Member: member, Generation: generation, TTLMS: ttl.Milliseconds()})
	return a.Assignment, err
}

// Leave implements store.Group.
func (d *fallbackStore) Leave(ctx context.Context, member string) error {
	_, err := d.call(ctx, storeRequest{Call: "leave", Member: member})
	return err
}

// Owners implements store.Group.
func (d *fallbackStore) Owners(ctx context.Context) ([]store.Owner, error) {
	a, err := d.call(ctx, storeRequest{Call: "owners"})
	return a.Owners, err
}
