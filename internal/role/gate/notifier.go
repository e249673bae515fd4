package gate

import "sync"

// outbox holds the notice that one peer has not received.
type outbox struct {
	pending notice
	// attempts counts the messages in a row that got no answer.
	attempts int
}

// notifier queues notices for peers. It is safe for concurrent use.
type notifier struct {
	mu       sync.Mutex
	outboxes map[string]*outbox
	wake     chan struct{}
}

func newNotifier() *notifier {
	return &notifier{outboxes: make(map[string]*outbox), wake: make(chan struct{}, 1)}
}

// add queues a notice for the peers and returns how many items there was no room for.
func (d *notifier) add(peers []string, n notice) (dropped int) {
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

// take returns the notice that waits for each peer.
func (d *notifier) take() map[string]notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]notice, len(d.outboxes))
	for address, box := range d.outboxes {
		out[address], box.pending = box.pending, notice{}
	}
	return out
}

// sent records the outcome of a message. It reports whether the notice is given up, and how many items there was no room
// to keep for another attempt.
func (d *notifier) sent(address string, n notice, err error) (givenUp bool, dropped int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	box := d.outboxes[address]
	if err != nil {
		box.attempts++
		if givenUp = box.attempts >= noticeAttempts; !givenUp {
			box.pending, dropped = n.with(box.pending)
			return false, dropped
		}
	}
	box.attempts = 0
	if box.pending.empty() {
		delete(d.outboxes, address)
	}
	return givenUp, 0
}

// waiting reports whether a notice waits for a peer.
func (d *notifier) waiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.outboxes) > 0
}
