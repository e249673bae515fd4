package fairq

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestQueueIsFair compares the queue with a set: no request is lost or returned twice, and while two workspaces
// always have requests waiting, their service stays in proportion to their weights within two of the largest
// requests.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](time.Hour)
		now := time.Now()
		naive := make(map[int]bool)
		weights := map[string]float64{"council": 1, "kura": rapid.Float64Range(0.5, 4).Draw(t, "weight")}
		served := make(map[string]float64)
		var largest float64
		for i := range 400 {
			for _, w := range []string{"council", "kura"} {
				cost := rapid.Int64Range(1, 50).Draw(t, "cost")
				largest = max(largest, float64(cost)/weights[w])
				id := 2*i + len(w)%2
				naive[id] = true
				q.Push(Item[int]{ID: w, Workspace: w, Weight: weights[w], Cost: cost, QueuedAt: now, Value: id})
			}
			it, ok := q.Pop(now)
			if !ok || !naive[it.Value] {
				t.Fatalf("popped %v, %v", it, ok)
			}
			delete(naive, it.Value)
			served[it.Workspace] += float64(it.Cost) / it.Weight
			q.Settle(it, it.Cost)
		}
		if d := served["council"] - served["kura"]; d > 2*largest || -d > 2*largest {
			t.Fatalf("served %v over weight, largest request %v", served, largest)
		}
		if q.Len() != len(naive) {
			t.Fatalf("queue holds %d requests, want %d", q.Len(), len(naive))
		}
	})
}

func TestIdleWorkspaceGainsNoCredit(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](time.Hour)
	now := time.Now()
	for i := range 100 {
		q.Push(Item[int]{ID: "a", Workspace: "busy", Weight: 1, Cost: 10, QueuedAt: now, Value: i})
	}
	for range 50 {
		it, _ := q.Pop(now)
		q.Settle(it, 10)
	}
	for i := range 100 {
		q.Push(Item[int]{ID: "b", Workspace: "back", Weight: 1, Cost: 10, QueuedAt: now, Value: i})
	}
	turns := 0
	for range 20 {
		if it, _ := q.Pop(now); it.Workspace == "back" {
			turns++
		}
	}
	is.True(turns >= 9 && turns <= 11)
}

func TestOldRequestIsNotStarved(t *testing.T) {
	is := is.New(t)
	q := NewQueue[string](10 * time.Second)
	now := time.Now()
	q.Push(Item[string]{
		ID: "new", Workspace: "w", Weight: 1, TokensServed: 0, Cost: 1, QueuedAt: now, Value: "first call",
	})
	for range 5 {
		q.Push(Item[string]{
			ID: "old", Workspace: "w", Weight: 1, TokensServed: 1000, Cost: 1, QueuedAt: now, Value: "under way",
		})
	}
	it, _ := q.Pop(now)
	is.Equal(it.Value, "under way")
	it, _ = q.Pop(now.Add(11 * time.Second))
	is.Equal(it.Value, "first call")
}

// TestRunningCostMatchesRunningRequests compares RunningCost of a popped request with the sum over the running
// requests.
func TestRunningCostMatchesRunningRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](time.Hour)
		now := time.Now()
		weights := map[string]float64{"council": 0.5, "kura": 2}
		var running []Item[int]
		for i := range 100 {
			w := rapid.SampledFrom([]string{"council", "kura"}).Draw(t, "workspace")
			q.Push(Item[int]{
				ID: w, Workspace: w, Weight: weights[w], Cost: rapid.Int64Range(1, 50).Draw(t, "cost"), QueuedAt: now,
				Value: i,
			})
			if rapid.Bool().Draw(t, "settle") && len(running) > 0 {
				n := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				q.Settle(running[n], rapid.Int64Range(0, 90).Draw(t, "true cost"))
				running = append(running[:n], running[n+1:]...)
			}
			it, ok := q.Pop(now)
			if !ok {
				t.Fatal("nothing to pop")
			}
			naive := 0.0
			for _, o := range running {
				if o.Workspace == it.Workspace {
					naive += float64(o.Cost) / o.Weight
				}
			}
			if math.Abs(it.RunningCost-naive) > 1e-6 {
				t.Fatalf("%s: RunningCost is %v, want %v", it.Workspace, it.RunningCost, naive)
			}
			running = append(running, it)
		}
	})
}
