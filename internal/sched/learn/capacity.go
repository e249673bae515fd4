package learn

import "time"

// excessWeight is how often the delay by requests beyond the limit counts. Such a request delays those behind it as well, and
// the requests that other gateways place at the same time are not seen yet. With 1, many gateways fill the fastest upstreams
// until these are no better than idle slow ones: at a load of 0.8 turns then take twice as long as with 4 to 8.
const excessWeight = 6

// Means are the means over the upstreams of a service, to which the estimates of an upstream decay while nothing is heard
// of it.
type Means struct {
	// Load is in requests per slot, Pace and Factor are multiples of the usual time.
	Load, Pace, Factor float64
}

// NoMeans returns the means of a service of which nothing is known.
func NoMeans() Means { return Means{Pace: 1, Factor: 1} }

// Reason says what the limit of an upstream follows from.
type Reason string

const (
	// Announced means that no time was observed, so the announced slots are the limit.
	Announced Reason = "announced"
	// Steady means that the times do not rise with the load, so the announced slots are the limit.
	Steady Reason = "steady"
	// SlowsUnderLoad means that the times rise with the load, and the limit lies where they begin to.
	SlowsUnderLoad Reason = "slows_under_load"
)

// Capacity is what was learned of one start of an upstream. It is immutable.
type Capacity struct {
	// slots is the announced number; at least 1.
	slots  int
	pace   Pace
	others Load
	speed  Speed
	curve  Curve
	// fit follows from curve. Its knee lies between 1 and slots.
	fit fit
}

// New returns the capacity of an upstream of which only the announced slots are known.
func New(slots int) Capacity {
	slots = max(1, slots)
	return Capacity{slots: slots, fit: fit{slots, 1}}
}

// WithSlots returns the capacity with another announced number of slots. What was observed at other levels is dropped.
func (c Capacity) WithSlots(slots int) Capacity {
	if slots = max(1, slots); slots == c.slots {
		return c
	}
	c.slots, c.fit, c.curve = slots, fit{slots, 1}, Curve{}
	return c
}

// WithReport returns the capacity after a load report. Others is the number of requests of other processes that run or
// wait there, pace the reported pace in percent or zero.
func (c Capacity) WithReport(others float64, pace int, now time.Time) Capacity {
	c.others = c.others.WithReport(others/float64(c.slots), now)
	c.pace = c.pace.WithReport(pace, now)
	return c
}

// WithTime returns the capacity after one more time, as a multiple of the typical one, of a request that ran beside own
// others of this process.
func (c Capacity) WithTime(ratio float64, own int, m Means, now time.Time) Capacity {
	others, _ := c.others.At(m.Load, c.slots, now)
	n := own + 1 + int(others*float64(c.slots)+0.5)
	x := ratio / c.pace.At(m.Pace, now)
	if c.speed.settled() {
		c.curve = c.curve.WithTime(x/c.speed.At(m.Factor, now), n, c.slots, now)
		c.fit = c.curve.fit(c.slots, now)
	}
	c.speed = c.speed.WithTime(x, m.Factor, now)
	return c
}

// WithWait returns the capacity after a request that has not ended for the given multiple of the typical time. It changes
// only if that exceeds the expected time.
func (c Capacity) WithWait(ratio float64, own int, m Means, now time.Time) Capacity {
	if ratio <= c.Factor(m, now)*c.pace.At(m.Pace, now) {
		return c
	}
	return c.WithTime(ratio, own, m, now)
}

// At returns the capacity as of now: what was observed long ago is forgotten.
func (c Capacity) At(now time.Time) Capacity {
	if c.fit.knee < c.slots {
		c.fit = c.curve.fit(c.slots, now)
	}
	return c
}

// ReportsPace reports whether the upstream ever reported a pace.
func (c Capacity) ReportsPace() bool { return c.pace.Known() }

// Limit returns how many requests the upstream handles well concurrently; from 1 to the announced slots.
func (c Capacity) Limit() int { return c.fit.knee }

// Reason returns what the limit follows from.
func (c Capacity) Reason() Reason {
	switch {
	case c.fit.knee < c.slots:
		return SlowsUnderLoad
	case !c.speed.Known():
		return Announced
	}
	return Steady
}

// Factor returns the time that the upstream takes at a usual pace and low load, as a multiple of the typical one.
func (c Capacity) Factor(m Means, now time.Time) float64 {
	return c.speed.At(m.Factor, now) * c.fit.scale
}

// Pace returns the present pace as a multiple of the usual time.
func (c Capacity) Pace(m Means, now time.Time) float64 { return c.pace.At(m.Pace, now) }

// Others returns the estimated number of other processes' requests.
func (c Capacity) Others(m Means, now time.Time) float64 {
	perSlot, _ := c.others.At(m.Load, c.slots, now)
	return perSlot * float64(c.slots)
}

// Delay returns the expected time of one more request beside own ones of this process, as a multiple of the typical time,
// with the time by which it delays others. Requests beyond the limit wait, or slow the others, in proportion. The number of requests is uncertain while reports are
// old, so upstreams near the limit count as slower then.
func (c Capacity) Delay(own int, m Means, now time.Time) float64 {
	slots := float64(c.slots)
	perSlot, variance := c.others.At(m.Load, c.slots, now)
	n := float64(own) + perSlot*slots
	one := c.Factor(m, now) * c.pace.At(m.Pace, now)
	excess := expectedExcess(n+1-float64(c.fit.knee), variance*slots*slots) / float64(c.fit.knee)
	return one * (1 + excessWeight*excess)
}

// ReportAge returns the age of the last load report, negative if there is none.
func (c Capacity) ReportAge(now time.Time) time.Duration {
	if !c.others.Known() {
		return -1
	}
	return now.Sub(c.others.reportedAt)
}
