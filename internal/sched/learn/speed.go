package learn

import "time"

const (
	// speedDrift is the variance that an estimate gains per second, relative to its square, since speeds change; maxDrift
	// bounds it. More drift follows changes faster, less gives a smaller error.
	speedDrift, maxDrift = 0.015, 0.25
	// noiseGain is the weight of the latest time in the estimate of the noise, minNoise and maxNoise bound its variance,
	// and firstNoise is its start: the work of calls varies by a third around its mean, and the mean time between the
	// events of a stream by a tenth.
	noiseGain, firstNoise, minNoise, maxNoise = 0.1, 0.12, 0.01, 0.25
	// settledVariance is the variance below which an estimate is compared with single times; it is reached after about
	// four.
	settledVariance = 0.04
	// speedHalfLife is the half-life of a time factor's distance from the mean of the service without new times, so that
	// a slow upstream is tried again; speedGrace is the time without effect, since a gateway may hear from an upstream
	// only every few seconds.
	speedHalfLife, speedGrace = 8 * time.Second, 3 * time.Second
	// minTime and maxTime bound a single time, as a multiple of the present estimate: a single long request must not
	// exclude its upstream.
	minTime, maxTime = 0.2, 5
	// minFactor and maxFactor bound a time factor.
	minFactor, maxFactor = 0.1, 20
)

// Speed estimates how much longer than the typical time an upstream takes, with the effect of its reported pace removed. It is a Kalman filter whose noise is itself estimated, since the times of calls vary much more
// than those of streams. The zero value has no observation. It is immutable.
type Speed struct {
	// factor lies between minFactor and maxFactor.
	factor float64
	// variance is that of factor relative to its square, noise that of single times.
	variance, noise float64
	observedAt      time.Time
}

// Known reports whether a time was observed.
func (s Speed) Known() bool { return !s.observedAt.IsZero() }

// settled reports whether the estimate is good enough to compare single times with.
func (s Speed) settled() bool { return s.Known() && s.variance < settledVariance }

// WithTime returns the estimate after one more time, as a multiple of the typical one.
func (s Speed) WithTime(x, service float64, now time.Time) Speed {
	v := s.At(service, now)
	p, noise := maxDrift, firstNoise
	if s.Known() {
		p = min(maxDrift, s.variance+speedDrift*max(0, now.Sub(s.observedAt).Seconds()))
		noise = s.noise
	}
	d := min(maxTime, max(minTime, x/v)) - 1
	gain := p / (p + noise)
	// A single large deviation is more likely a change than noise.
	noise += noiseGain * (min(d*d, 4*noise) - noise)
	return Speed{
		factor: min(maxFactor, max(minFactor, v*(1+gain*d))), variance: (1 - gain) * p,
		noise: min(maxNoise, max(minNoise, noise)), observedAt: now,
	}
}

// At returns the estimate, which decays to the mean of the service.
func (s Speed) At(service float64, now time.Time) float64 {
	if !s.Known() {
		return service
	}
	return service + (s.factor-service)*halved(now.Sub(s.observedAt)-speedGrace, speedHalfLife)
}
