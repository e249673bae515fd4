package gate

import (
	"time"

	"galenaward.example/galenaward/internal/sched/roster"
	"galenaward.example/galenaward/internal/state/store"
)

// replaceEvacuations puts the evacuations of a snapshot of the settings into force, unless the snapshot is outdated.
func (g *Gateway) replaceEvacuations(b store.Batch) {
	cur := g.roster.Evacuations()
	if b.Next < cur.Next() {
		g.logEvent("evacuations_outdated", "offset", b.Next, "applied_offset", cur.Next(), "data_centres", cur.Len())
	}
	g.setEvacuations(cur.WithSnapshot(g.evacuationRecords(b), b.Next), "snapshot")
}

// applyEvacuations puts evacuations that began or ended into force.
func (g *Gateway) applyEvacuations(b store.Batch) {
	g.setEvacuations(g.roster.Evacuations().WithRecords(g.evacuationRecords(b), b.Next), "record")
}

// setEvacuations is called only by the goroutine that follows the settings, so that no change gets lost in between.
func (g *Gateway) setEvacuations(e roster.Evacuations, source string) {
	// Upstreams may have turned cold during the evacuation, so they count as cold before requests reach them again.
	for _, dc := range g.roster.Evacuations().Without(e) {
		g.roster.AssumeCold(dc, g.layout.Load().ColdStart, time.Now())
	}
	for _, c := range g.roster.SetEvacuations(e) {
		event := "data_centre_returned"
		if c.Evacuated {
			event = "data_centre_evacuated"
		}
		g.logEvent(event, "data_centre", c.DataCentre, "upstreams", c.Upstreams, "offset", e.Next(), "source", source)
	}
}

// evacuationRecords returns the batch's records about evacuations in their order.
func (g *Gateway) evacuationRecords(b store.Batch) []roster.EvacuationRecord {
	var out []roster.EvacuationRecord
	for _, r := range b.Records {
		if dc, ok := g.decoder.DecodeEvacuation(r.Key); ok {
			out = append(out, roster.EvacuationRecord{DataCentre: dc, Evacuated: len(r.Value) > 0})
		}
	}
	return out
}

func (g *Gateway) registerEvacuationGauges() {
	g.metrics.Gauge("data_centres_evacuated", func() int64 { return int64(g.roster.Evacuations().Len()) })
	g.metrics.Gauge("upstreams_evacuated", func() int64 { return int64(g.roster.EvacuatedUpstreams()) })
}
