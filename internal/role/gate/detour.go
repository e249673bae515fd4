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
	// detourAfter is how many calls in a row must fail before peers are asked to make them.
	detourAfter = 2
	// directEvery is how often the direct way is tried again while it fails.
	directEvery = 700 * time.Millisecond
	// maxDetours bounds the peers that are asked for one call.
	maxDetours = 2
	// cutAfter is how many direct calls in a row must fail after a peer reached the store before this process counts as
	// cut off from it. Peers may reach a store that comes back a moment earlier.
	cutAfter = 2
	// failingWait bounds how long a reading of a feed waits for records while the direct way fails, since its answer
	// shows that the way is good again.
	failingWait = 100 * time.Millisecond
)

// detour is a store that a part of the fleet may fail to reach: calls that the store turns away from here are made
// by a peer. Repeated appends are safe, since the store does each once; what is published may be repeated.
type detour struct {
	store.Store
	peers     *peerClient
	addresses func() []string
	note      func(event string, kv ...any)
	// every is the time between two tries of the direct way while it fails.
	every time.Duration

	mu       sync.Mutex
	failures int
	tried    time.Time
	// good is the peer that reached the store last, goodAt the number of failures when the first one of this series did.
	good   string
	goodAt int
}

func newDetour(direct store.Store, p *peerClient, addresses func() []string, note func(string, ...any)) *detour {
	return &detour{Store: direct, peers: p, addresses: addresses, note: note, every: directEvery}
}

// storeRequest is a call of the store that a peer is asked to make.
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
	// take receives the records of a page as they arrive, if the call is made here.
	take func(store.Record)
}

// storeAnswer is what the store said to the peer.
type storeAnswer struct {
	Page       store.Page       `json:"page"`
	Records    []store.Record   `json:"records,omitempty"`
	Batch      store.Batch      `json:"batch"`
	Assignment store.Assignment `json:"assignment"`
	Owners     []store.Owner    `json:"owners,omitempty"`
	// Remembered says that the peer did not reach the store and answered from memory.
	Remembered bool   `json:"remembered,omitempty"`
	Failure    string `json:"failure,omitempty"`
	Cause      string `json:"cause,omitempty"`
}

// failures maps the store's errors to their names between peers.
var failures = []struct {
	name string
	err  error
}{
	{"fenced", store.ErrFenced},
	{"sequence", store.ErrSequence},
	{"compacted", store.ErrCompacted},
	{"refused", store.ErrRefused},
	{"unknown", store.ErrUnknown},
}

// runStore makes a peer's call.
func runStore(ctx context.Context, s store.Store, q storeRequest) storeAnswer {
	var a storeAnswer
	var err error
	switch q.Call {
	case "append":
		err = s.Append(ctx, q.Partition, q.Fence, q.Records)
	case "newest":
		take := q.take
		if take == nil {
			take = func(r store.Record) { a.Records = append(a.Records, r) }
		}
		a.Page, err = s.Newest(ctx, q.Partition, q.After, take)
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
		err = errors.Wrapf(store.ErrRefused, "call %q does not exist", q.Call)
	}
	if err != nil {
		a.Failure, a.Cause = "unknown", err.Error()
		for _, f := range failures {
			if errors.Is(err, f.err) {
				a.Failure = f.name
			}
		}
	}
	return a
}

// definite reports whether the store itself decided about the call.
func definite(err error) bool {
	return err == nil || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) || errors.Is(err, store.ErrCompacted)
}

// try makes a call directly, or through peers while the direct way fails.
func (d *detour) try(ctx context.Context, q storeRequest) (storeAnswer, error) {
	var a storeAnswer
	err := errors.Wrap(store.ErrRefused, "the direct way fails")
	if d.direct() {
		if d.failing() {
			q.WaitMS = min(q.WaitMS, failingWait.Milliseconds())
		}
		a = runStore(ctx, d.Store, q)
		err = a.err()
		d.count(definite(err))
		if definite(err) || ctx.Err() != nil {
			return a, err
		}
	}
	if !d.failing() {
		return a, err
	}
	for _, address := range d.ways() {
		b, perr := ask[storeAnswer](ctx, d.peers, address, storePath, q)
		if perr == nil && definite(b.err()) {
			if !b.Remembered {
				d.reached(address)
			}
			return b, b.err()
		}
		if ctx.Err() != nil {
			break
		}
	}
	return a, err
}

// ways returns the peers to ask, the one that reached the store last before others.
func (d *detour) ways() []string {
	addresses := d.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(addresses, d.good); i > 0 {
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	return addresses[:min(maxDetours, len(addresses))]
}

func (d *detour) reached(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.good = address
	if d.goodAt == 0 {
		d.goodAt = d.failures
	}
}

// Cut reports whether peers reach the store and this process does not.
func (d *detour) Cut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.goodAt >= detourAfter && d.failures >= d.goodAt+cutAfter
}

// direct reports whether the call should be tried without peers.
func (d *detour) direct() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failures < detourAfter || time.Since(d.tried) > d.every {
		d.tried = time.Now()
		return true
	}
	return false
}

func (d *detour) failing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures >= detourAfter
}

// count notes how a direct call ended.
func (d *detour) count(ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case ok && d.failures >= detourAfter:
		d.note("store_direct", "failures", d.failures)
	case !ok && d.failures+1 == detourAfter:
		d.note("store_detour", "failures", d.failures+1)
	}
	if ok {
		d.failures, d.goodAt = 0, 0
		return
	}
	d.failures++
}

func (a storeAnswer) err() error {
	if a.Failure == "" {
		return nil
	}
	for _, f := range failures {
		if f.name == a.Failure {
			return errors.Wrap(f.err, a.Cause)
		}
	}
	return errors.Wrap(store.ErrUnknown, a.Cause)
}

// Append implements store.Log.
func (d *detour) Append(ctx context.Context, partition int, f store.Fence, records []store.Record) error {
	_, err := d.try(ctx, storeRequest{Call: "append", Partition: partition, Fence: f, Records: records})
	return err
}

// Newest implements store.Log.
func (d *detour) Newest(ctx context.Context, partition int, after string, take func(store.Record)) (store.Page, error) {
	a, err := d.try(ctx, storeRequest{Call: "newest", Partition: partition, After: after, take: take})
	for _, r := range a.Records {
		take(r)
	}
	return a.Page, err
}

// Snapshot implements store.Feeds.
func (d *detour) Snapshot(ctx context.Context, f store.Feed) (store.Batch, error) {
	a, err := d.try(ctx, storeRequest{Call: "snapshot", Feed: f})
	return a.Batch, err
}

// Follow implements store.Feeds.
func (d *detour) Follow(ctx context.Context, f store.Feed, from int64, wait time.Duration) (store.Batch, error) {
	a, err := d.try(ctx, storeRequest{Call: "follow", Feed: f, From: from, WaitMS: wait.Milliseconds()})
	return a.Batch, err
}

// Publish implements store.Feeds.
func (d *detour) Publish(ctx context.Context, f store.Feed, records []store.Record) error {
	_, err := d.try(ctx, storeRequest{Call: "publish", Feed: f, Records: records})
	return err
}

// Join implements store.Group.
func (d *detour) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (store.Assignment, error) {
	a, err := d.try(ctx, storeRequest{Call: "join", Member: member, Generation: generation, TTLMS: ttl.Milliseconds()})
	return a.Assignment, err
}

// Leave implements store.Group.
func (d *detour) Leave(ctx context.Context, member string) error {
	_, err := d.try(ctx, storeRequest{Call: "leave", Member: member})
	return err
}

// Owners implements store.Group.
func (d *detour) Owners(ctx context.Context) ([]store.Owner, error) {
	a, err := d.try(ctx, storeRequest{Call: "owners"})
	return a.Owners, err
}
