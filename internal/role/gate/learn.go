package gate

import (
	"fmt"
	"io"
	"time"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/sched/learn"
	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/layout"
)

// maxLimitLines bounds the log lines about limits in one pass of housekeeping.
const maxLimitLines = 8

// learningModes are the values of the setting learned_capacity.
var learningModes = map[string]roster.Learning{
	config.Auto: roster.LearnAuto,
	config.On:   roster.LearnAll,
	config.Off:  roster.LearnNone,
}

// learnTime passes the time that an upstream took for a request of the kind, without the network, to what is learned of
// its capacity. If the request did not end, the time is only a lower bound.
func (g *Gateway) learnTime(u roster.Upstream, kind string, took time.Duration, ended bool) {
	var ratio float64
	if ended {
		ratio = g.workTimes.record(kind, took)
	} else {
		ratio = g.workTimes.ratio(kind, took)
	}
	g.roster.LearnTime(u.Instance, ratio, ended, time.Now())
}

// learnCall is learnTime for a call that is answered at once.
func (g *Gateway) learnCall(u roster.Upstream, route string, took time.Duration, ended bool) {
	took -= g.knownDistances().RoundTrip(g.settings.DataCentre, u.DataCentre)
	g.learnTime(u, route, max(0, took), ended)
}

// turnKind is the kind under which the times of whole turns are recorded.
func turnKind(service string) string { return "turn/" + service }

// typicalTime returns the typical time of the request at an upstream, zero if unknown.
func (g *Gateway) typicalTime(a *attempts) time.Duration {
	if a.route.Kind == layout.Streaming {
		return g.latencies.typical(turnKind(a.service))
	}
	return g.latencies.typical(a.route.Name)
}

// knownDistances returns the distances to data centres that are known so far.
func (g *Gateway) knownDistances() learn.Distances {
	if d := g.distances.Load(); d != nil {
		return *d
	}
	return learn.Distances{}
}

// recordConnect learns the distance to the upstream's data centre from the time to open a connection.
func (g *Gateway) recordConnect(address string, took time.Duration) {
	dc, ok := g.roster.DataCentreAt(address)
	if !ok {
		return
	}
	for {
		cur := g.distances.Load()
		next := g.knownDistances().WithConnect(dc, took)
		if g.distances.CompareAndSwap(cur, &next) {
			return
		}
	}
}

// logLimits logs the changes of limits since the last call.
func (g *Gateway) logLimits() {
	changes := g.roster.TakeLimitChanges()
	for i, c := range changes {
		if i == maxLimitLines {
			g.metrics.Add("limit_changes_unlogged", int64(len(changes)-i))
			return
		}
		g.logEvent("upstream_limit", "upstream", c.Upstream.Instance, "address", c.Upstream.Address,
			"slots", c.Upstream.Slots, "before", c.Before, "limit", c.Now, "reason", string(c.Reason),
			"factor", c.Factor, "pace", c.Pace, "report_age_ms", c.ReportAge.Milliseconds())
	}
}

// writeLearned prints the snapshot of what is learned of each upstream.
func (g *Gateway) writeLearned(w io.Writer) {
	for _, u := range g.roster.Learned(time.Now()) {
		fmt.Fprintf(w, "upstream_limit{upstream=%q,reason=%q} %d\n", u.Instance, u.Reason, u.Limit)
		fmt.Fprintf(w, "upstream_factor{upstream=%q} %.3f\n", u.Instance, u.Factor)
		fmt.Fprintf(w, "upstream_pace{upstream=%q} %.3f\n", u.Instance, u.Pace)
		fmt.Fprintf(w, "upstream_load{upstream=%q} %.2f\n", u.Instance, u.Load)
	}
}
