package sched

import (
	"slices"
	"time"
)

// Result holds the measurements of a simulation.
type Result struct {
	// Programs is the number of programs that completed.
	Programs int
	// Mean, P95 and P99 are of the time that a program spends in calls, with the wait in queues and without pauses.
	Mean, P95, P99 time.Duration
	// PerWorkspace is the mean for each workspace.
	PerWorkspace map[string]time.Duration
	// RecomputedFraction is the fraction of all prompt tokens that were prefilled although some engine had cached them.
	RecomputedFraction float64
	// RemoteFraction is the fraction of all calls that ran in another data centre than the caller's.
	RemoteFraction float64
}

func (s *Simulation) result() *Result {
	out := &Result{PerWorkspace: make(map[string]time.Duration)}
	var all []time.Duration
	for w, ls := range s.latencies {
		out.PerWorkspace[w] = mean(ls)
		all = append(all, ls...)
	}
	slices.Sort(all)
	out.Programs, out.Mean = len(all), mean(all)
	out.P95, out.P99 = quantile(all, 0.95), quantile(all, 0.99)
	out.RecomputedFraction = float64(s.recomputedTokens) / float64(max(1, s.promptTokens))
	out.RemoteFraction = float64(s.remoteCalls) / float64(max(1, s.calls))
	return out
}

func mean(ds []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range ds {
		sum += d
	}
	return sum / time.Duration(max(1, len(ds)))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
