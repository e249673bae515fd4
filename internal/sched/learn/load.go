package learn

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the half-life of the weight of the last load report. Calls take 20 to 80 ms and turns some 200 ms,
	// so most of the requests that a report counts end soon after it.
	loadHalfLife = 100 * time.Millisecond
	// loadMeanHalfLife is the half-life of the weight of earlier reports in an upstream's mean load, and that of the mean
	// itself once reports stop. Speeds and demand change within seconds.
	loadMeanHalfLife = time.Second
	// maxReportedLoad bounds the load, in requests per slot, that a report may claim. Longer queues are not told apart,
	// and a false report excludes an upstream no more than a full queue does.
	maxReportedLoad = 4
)

// Load estimates the requests of other processes at an upstream, in requests per slot. The zero value has no report. It
// is immutable.
type Load struct {
	// last is the last reported load, mean a moving average of all. Both lie between 0 and maxReportedLoad.
	last, mean float64
	reportedAt time.Time
}

// Known reports whether a load was ever reported.
func (l Load) Known() bool { return !l.reportedAt.IsZero() }

// WithReport returns the estimate after a report of a load in requests per slot.
func (l Load) WithReport(perSlot float64, now time.Time) Load {
	x := min(maxReportedLoad, max(0, perSlot))
	if !l.Known() {
		return Load{last: x, mean: x, reportedAt: now}
	}
	keep := halved(now.Sub(l.reportedAt), loadMeanHalfLife)
	return Load{last: x, mean: keep*l.mean + (1-keep)*x, reportedAt: now}
}

// At returns the estimate and its variance, for an upstream with the given slots. The estimate decays from the last
// report to the upstream's mean, and that to the mean of the service. The variance is that of the requests which arrived
// since the report, if they arrive independently of each other.
func (l Load) At(service float64, slots int, now time.Time) (perSlot, variance float64) {
	if !l.Known() {
		return service, service / float64(slots)
	}
	age := now.Sub(l.reportedAt)
	mean := service + (l.mean-service)*halved(age, loadMeanHalfLife)
	fresh := halved(age, loadHalfLife)
	perSlot = mean + (l.last-mean)*fresh
	return perSlot, perSlot / float64(slots) * (1 - fresh*fresh)
}

// expectedExcess returns the expected value of max(0, x) for a normally distributed x.
func expectedExcess(mean, variance float64) float64 {
	if variance <= 0 {
		return max(0, mean)
	}
	sd := math.Sqrt(variance)
	z := mean / sd
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return sd*density + mean*(1+math.Erf(z/math.Sqrt2))/2
}
