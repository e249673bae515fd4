package learn

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the half-life of the weight of the last reported pace. Other workloads slow a machine for about
	// 600 ms, so a report that is half a second old says little about the present.
	paceHalfLife = 250 * time.Millisecond
	// paceMeanHalfLife is the half-life of the weight of earlier reports in an upstream's mean pace, and that of the
	// mean itself once reports stop.
	paceMeanHalfLife = 4 * time.Second
	// minPace and maxPace bound a reported pace, so that a false report cannot attract all requests or exclude the
	// upstream. Machines run at 0.7 to 1.7 times the usual speed, and at 2/5 of that while other workloads run.
	minPace, maxPace = 0.4, 5
)

// Pace estimates the time that work takes on an upstream's machine, as a multiple of the usual time, from the upstream's
// reports. The zero value has no report. It is immutable.
type Pace struct {
	// last is the last reported pace, mean a moving average of all. Both lie between minPace and maxPace.
	last, mean float64
	reportedAt time.Time
}

// Known reports whether a pace was ever reported.
func (p Pace) Known() bool { return !p.reportedAt.IsZero() }

// WithReport returns the estimate after a report in percent of the usual time; zero means that the report has no pace.
func (p Pace) WithReport(percent int, now time.Time) Pace {
	if percent <= 0 {
		return p
	}
	x := min(maxPace, max(minPace, float64(percent)/100))
	if !p.Known() {
		return Pace{last: x, mean: (1 + x) / 2, reportedAt: now}
	}
	keep := halved(now.Sub(p.reportedAt), paceMeanHalfLife)
	return Pace{last: x, mean: keep*p.mean + (1-keep)*x, reportedAt: now}
}

// At returns the estimate. It decays from the last report to the upstream's mean, and that to the mean of the service.
func (p Pace) At(service float64, now time.Time) float64 {
	if !p.Known() {
		return service
	}
	age := now.Sub(p.reportedAt)
	mean := service + (p.mean-service)*halved(age, paceMeanHalfLife)
	return mean + (p.last-mean)*halved(age, paceHalfLife)
}

// halved returns the weight that remains after the given time. Times before zero, from clocks that were set back, count
// as zero.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(halfLife))
}
