// Package member tracks the sidecars known to an entry from their heartbeats.
package member

import (
	"slices"
	"time"
)

// Node is one sidecar and its upstream. It is immutable.
type Node struct {
	VM string
	// Instance identifies this run of the sidecar process.
	Instance   string
	Address    string
	DataCentre string
	// Service is the service of an ordinary upstream; empty if the upstream is a model engine.
	Service string
	Models  []string
	// Running, Queued and Capacity are numbers of requests, as of the last report.
	Running, Queued, Capacity int
	// Up says that the upstream responds.
	Up bool
	// Leaving says that the VM takes no new requests.
	Leaving bool
	// LastReport is when the last report arrived.
	LastReport time.Time
	// SentSinceReport is the number of requests that this entry sent since the last report.
	SentSinceReport int
}

// Serves reports whether the upstream is an engine that serves the model.
func (n Node) Serves(model string) bool { return slices.Contains(n.Models, model) }

// Load returns the upstream's requests over its capacity, including those sent since the last report.
func (n Node) Load() float64 {
	return float64(n.Running+n.Queued+n.SentSinceReport) / float64(max(1, n.Capacity))
}
