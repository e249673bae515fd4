package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

const (
	// newsInterval is the minimum time between two messages to one peer, newsTimeout bounds a message.
	newsInterval = 50 * time.Millisecond
	newsTimeout  = 400 * time.Millisecond
	// newsAttempts is how often a message is sent to a peer that does not answer. All attempts end within two seconds, the
	// time in which a leaving upstream must stop receiving requests.
	newsAttempts = 4
	// maxNews bounds the items of each kind that wait for one peer.
	maxNews = 4096
)

// upstreamStart identifies one start of an upstream in messages.
type upstreamStart struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"born"`
}

func (s upstreamStart) start() roster.Start { return roster.Start(s) }

// news is what a gateway learned from the answers of upstreams and others need to know before they read it in the store.
type news struct {
	// Leaving upstreams said so themselves, Failing ones were seen to fail.
	Leaving []upstreamStart `json:"leaving,omitempty"`
	Failing []upstreamStart `json:"failing,omitempty"`
	// Crashes are records of requests that crashed upstreams.
	Crashes []store.Record `json:"crashes,omitempty"`
}

func (n news) empty() bool { return len(n.Leaving)+len(n.Failing)+len(n.Crashes) == 0 }

// with returns the news followed by other, and how many items there was no room for.
func (n news) with(other news) (merged news, dropped int) {
	var d1, d2, d3 int
	n.Leaving, d1 = appendBounded(n.Leaving, other.Leaving)
	n.Failing, d2 = appendBounded(n.Failing, other.Failing)
	n.Crashes, d3 = appendBounded(n.Crashes, other.Crashes)
	return n, d1 + d2 + d3
}

func appendBounded[T any](list, more []T) (out []T, dropped int) {
	room := min(len(more), maxNews-len(list))
	return append(slices.Clip(list), more[:room]...), len(more) - room
}

// outbox holds the news that one peer has not received.
type outbox struct {
	pending news
	// attempts counts the messages in a row that got no answer.
	attempts int
}

// newsDesk tells peers what this gateway learned. It is safe for concurrent use.
type newsDesk struct {
	mu       sync.Mutex
	outboxes map[string]*outbox
	wake     chan struct{}
}

func newNewsDesk() *newsDesk {
	return &newsDesk{outboxes: make(map[string]*outbox), wake: make(chan struct{}, 1)}
}

// add queues news for the peers and returns how many items there was no room for.
func (d *newsDesk) add(peers []string, n news) (dropped int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range peers {
		box, ok := d.outboxes[address]
		if !ok {
			box = &outbox{}
			d.outboxes[address] = box
		}
		var lost int
		box.pending, lost = box.pending.with(n)
		dropped += lost
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return dropped
}

// take returns the news that wait for each peer.
func (d *newsDesk) take() map[string]news {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]news, len(d.outboxes))
	for address, box := range d.outboxes {
		out[address], box.pending = box.pending, news{}
	}
	return out
}

// sent records the outcome of a message and reports whether its news are given up.
func (d *newsDesk) sent(address string, n news, err error) (givenUp bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	box := d.outboxes[address]
	if err != nil {
		box.attempts++
		if givenUp = box.attempts >= newsAttempts; !givenUp {
			box.pending, _ = n.with(box.pending)
			return false
		}
	}
	box.attempts = 0
	if box.pending.empty() {
		delete(d.outboxes, address)
	}
	return givenUp
}

// waiting reports whether a peer has news to receive.
func (d *newsDesk) waiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.outboxes) > 0
}

// tell queues news for all known peers.
func (g *Gateway) tell(n news) {
	if dropped := g.news.add(g.knownPeers(), n); dropped > 0 {
		g.logEvent("news_dropped", "items", dropped)
	}
}

// knownPeers returns the peers that own partitions and those that borrowed tokens here lately.
func (g *Gateway) knownPeers() []string {
	out := append(g.owner.Peers(), g.rates.recentBorrowers(time.Now())...)
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == g.settings.ListenPeers })
}

// sendNews sends queued news until ctx ends.
func (g *Gateway) sendNews(ctx context.Context) error {
	for {
		select {
		case <-g.news.wake:
		case <-ctx.Done():
			return nil
		}
		for g.news.waiting() && ctx.Err() == nil {
			g.sendNewsOnce(ctx)
			select {
			case <-time.After(newsInterval):
			case <-ctx.Done():
			}
		}
	}
}

func (g *Gateway) sendNewsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	var eg errgroup.Group
	for address, n := range g.news.take() {
		eg.Go(func() error {
			_, err := callPeer[struct{}](ctx, g.peers, address, newsPath, n)
			if g.news.sent(address, n, err) {
				g.logEvent("news_not_told", "peer", address, "leaving", len(n.Leaving), "failing", len(n.Failing),
					"crashes", len(n.Crashes), "cause", err)
			}
			return nil
		})
	}
	_ = eg.Wait() // The functions return no errors.
}

// applyNews applies what a peer learned.
func (g *Gateway) applyNews(_ context.Context, n news) (struct{}, error) {
	for _, s := range n.Leaving {
		g.recordLeaving(s.start(), "peer")
	}
	for _, s := range n.Failing {
		g.roster.RecordPeerFailure(s.Instance, s.Incarnation, time.Now())
	}
	if len(n.Crashes) > 0 {
		g.applyCrashes(n.Crashes, "peer")
	}
	return struct{}{}, nil
}

// recordLeaving records that an upstream leaves, and reports whether that is new.
func (g *Gateway) recordLeaving(s roster.Start, source string) bool {
	fresh := g.roster.MarkLeaving(s, time.Now())
	if fresh {
		g.logEvent("upstream_leaving", "upstream", s.Instance, "source", source)
	}
	return fresh
}

// observeLeaving records what an upstream said of itself in an answer, and tells peers.
func (g *Gateway) observeLeaving(s roster.Start) {
	if g.recordLeaving(s, "answer") {
		g.tell(news{Leaving: []upstreamStart{upstreamStart(s)}})
	}
}
