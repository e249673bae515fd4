package learn

import (
	"maps"
	"time"
)

const (
	// unmeasuredDistance is the round trip assumed to a data centre to which no connection was opened yet; the longest
	// ones are 9.8 ms.
	unmeasuredDistance = 9800 * time.Microsecond
	// minDistance is the least round trip to another data centre: the near ones are 1.8 ms apart, and traffic between
	// data centres is billed.
	minDistance = 1800 * time.Microsecond
	// distanceRise is the weight of a connection that took longer than the shortest. Such connections are slow because of
	// the two ends; a route that has become longer is noticed after some dozens.
	distanceRise = 0.02
)

// Distances holds the round trip times to data centres, from the times to open connections. The zero value has none. It
// is immutable.
type Distances struct{ roundTrips map[string]time.Duration }

// WithConnect returns the distances after a connection to the data centre was opened in the given time.
func (d Distances) WithConnect(dataCentre string, took time.Duration) Distances {
	known, ok := d.roundTrips[dataCentre]
	if ok && took > known {
		took = known + time.Duration(distanceRise*float64(took-known))
	}
	out := make(map[string]time.Duration, len(d.roundTrips)+1)
	maps.Copy(out, d.roundTrips)
	out[dataCentre] = took
	return Distances{out}
}

// RoundTrip returns the round trip time from one data centre to another.
func (d Distances) RoundTrip(from, to string) time.Duration {
	if from == to {
		return 0
	}
	known, ok := d.roundTrips[to]
	if !ok {
		return unmeasuredDistance
	}
	return max(minDistance, known)
}
