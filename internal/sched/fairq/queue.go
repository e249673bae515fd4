// Package fairq queues requests so that each workspace gets its weighted fair share of an upstream (virtual token
// counter). Each workspace has a virtual counter, which is charged tokens divided by weight, and the workspace with the
// lowest counter is served next. Within a workspace the program with the most tokens served goes first, so that running
// programs finish before others start.
package fairq

import (
	"slices"
	"time"
)

// Item is a waiting request.
type Item[T any] struct {
	// ID is unique in the queue.
	ID                 string
	Workspace, Program string
	// Weight is the workspace's weight; it is positive.
	Weight float64
	// TokensServed is the number of tokens that the program has been served so far.
	TokensServed int64
	// Cost is the expected cost in tokens.
	Cost     int64
	QueuedAt time.Time
	// RunningCost is the expected cost over weight that the workspace already had running when the request was popped.
	RunningCost float64
	Value       T
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[T any] struct {
	// maxWait is the age above which the oldest request of a workspace goes first.
	maxWait    time.Duration
	workspaces map[string]*workspaceQueue[T]
	size       int
}

type workspaceQueue[T any] struct {
	// counter is the cost over weight that the workspace was charged. It only rises, except for corrections.
	counter float64
	running int
	// runningCost is the expected cost over weight of the running requests.
	runningCost float64
	items       []Item[T]
}

// NewQueue returns a queue in which a request older than maxWait goes before younger ones of its workspace.
func NewQueue[T any](maxWait time.Duration) *Queue[T] {
	return &Queue[T]{maxWait: maxWait, workspaces: make(map[string]*workspaceQueue[T])}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds a request. A workspace that was idle resumes at no less than the lowest counter of the busy ones, so that
// it gains no credit while idle.
func (q *Queue[T]) Push(it Item[T]) {
	w, ok := q.workspaces[it.Workspace]
	if !ok {
		w = &workspaceQueue[T]{}
		q.workspaces[it.Workspace] = w
	}
	if !w.busy() {
		if low, any := q.lowestCounter(); any {
			w.counter = max(w.counter, low)
		}
	}
	w.items = append(w.items, it)
	q.size++
}

func (w *workspaceQueue[T]) busy() bool { return w.running > 0 || len(w.items) > 0 }

func (q *Queue[T]) lowestCounter() (float64, bool) {
	low, any := 0.0, false
	for _, w := range q.workspaces {
		if w.busy() && (!any || w.counter < low) {
			low, any = w.counter, true
		}
	}
	return low, any
}

// Pop removes the request to serve next and charges its expected cost. The request counts as running until Settle is
// called.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	w := q.nextWorkspace()
	if w == nil {
		return Item[T]{}, false
	}
	i := w.nextItem(now, q.maxWait)
	it := w.items[i]
	w.items = slices.Delete(w.items, i, i+1)
	w.running++
	it.RunningCost = w.runningCost
	w.runningCost += float64(it.Cost) / it.Weight
	w.counter += float64(it.Cost) / it.Weight
	q.size--
	return it, true
}

func (q *Queue[T]) nextWorkspace() *workspaceQueue[T] {
	var name string
	var best *workspaceQueue[T]
	for n, w := range q.workspaces {
		if len(w.items) == 0 {
			continue
		}
		if best == nil || w.counter < best.counter || (w.counter == best.counter && n < name) {
			name, best = n, w
		}
	}
	return best
}

func (w *workspaceQueue[T]) nextItem(now time.Time, maxWait time.Duration) int {
	best := 0
	for i, it := range w.items {
		if now.Sub(it.QueuedAt) > maxWait {
			return i
		}
		if it.TokensServed > w.items[best].TokensServed {
			best = i
		}
	}
	return best
}

// Remove removes a waiting request and reports whether it was queued.
func (q *Queue[T]) Remove(workspace, id string) bool {
	w, ok := q.workspaces[workspace]
	if !ok {
		return false
	}
	i := slices.IndexFunc(w.items, func(it Item[T]) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	w.items = slices.Delete(w.items, i, i+1)
	q.size--
	q.dropIdle(workspace)
	return true
}

// Settle ends a request that Pop returned and corrects the charge to the actual cost.
func (q *Queue[T]) Settle(it Item[T], cost int64) {
	w, ok := q.workspaces[it.Workspace]
	if !ok {
		return
	}
	w.running--
	w.runningCost -= float64(it.Cost) / it.Weight
	w.counter += float64(cost-it.Cost) / it.Weight
	q.dropIdle(it.Workspace)
}

// PutBack returns a popped request that was not run to the queue; it is charged nothing.
func (q *Queue[T]) PutBack(it Item[T]) {
	q.Settle(it, 0)
	q.Push(it)
}

// dropIdle removes the queue of an idle workspace whose counter is not above those of the busy ones, so that idle
// queues do not accumulate. This loses nothing, since Push would raise the counter to the lowest busy one.
func (q *Queue[T]) dropIdle(workspace string) {
	w := q.workspaces[workspace]
	if w.busy() {
		return
	}
	if low, any := q.lowestCounter(); !any || w.counter <= low {
		delete(q.workspaces, workspace)
	}
}
