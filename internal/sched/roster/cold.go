package roster

import (
	"math"
	"slices"
	"time"
)

const (
	// coldPenalty is the load, in requests per slot, that being cold weighs as much as. An upstream that has just started
	// takes about twice as long as later, which a score of one expresses.
	coldPenalty = 1.0
	// slowStartHalfLife is the half-life of coldPenalty after the upstream turned warm. All processes see at the same time
	// that it is idle, and would send it their requests at once.
	slowStartHalfLife = time.Second
	// slowStartTime is how long after that the penalty applies. What is left of it then is below scoreJitter.
	slowStartTime = 5 * time.Second
	// announcementDelay is how long announcements take to arrive. One that arrives sooner after the return of a data centre
	// may have been made before it, when the upstream had not turned cold yet. The feed is read every 250 ms, and a slow
	// read takes 600 ms.
	announcementDelay = time.Second
)

// coldState is what is known of the time in which an upstream handles few requests. The zero value is warm. It is
// immutable.
type coldState struct {
	// announcedUntil is until when the latest announcement says that the upstream is cold, counted from its arrival.
	announcedUntil time.Time
	// assumedUntil is until when the upstream counts as cold since its data centre was taken back at assumedAt; zero once a
	// later announcement has said that it is warm.
	assumedUntil, assumedAt time.Time
	// warmSince is when the upstream turned warm according to announcements, or was first seen.
	warmSince time.Time
	// reported says that the last change that was reported is to cold.
	reported bool
}

// until returns until when the upstream is cold.
func (c coldState) until() time.Time {
	if c.assumedUntil.After(c.announcedUntil) {
		return c.assumedUntil
	}
	return c.announcedUntil
}

// isCold reports whether the upstream is cold. After a suspension of the machine its monotonic clock is behind, which
// errs on the side of cold.
func (c coldState) isCold(now time.Time) bool { return now.Before(c.until()) }

// withAnnouncement returns the state after an announcement that arrived at the given time and says that the upstream stays
// cold for d. A repeated announcement was read again with a complete list and may be older than assumedUntil.
func (c coldState) withAnnouncement(d time.Duration, at time.Time, repeated bool) coldState {
	if d > 0 {
		c.announcedUntil = at.Add(d)
		return c
	}
	ended := c.until()
	c.announcedUntil = time.Time{}
	if !repeated && at.Sub(c.assumedAt) >= announcementDelay {
		c.assumedUntil = time.Time{}
	}
	if c.isCold(at) || ended.IsZero() {
		return c
	}
	if ended.After(at) {
		ended = at
	}
	if ended.After(c.warmSince) {
		c.warmSince = ended
	}
	return c
}

// withReported returns the state after a change was reported.
func (c coldState) withReported(cold bool) coldState {
	c.reported = cold
	return c
}

// withAssumption returns the state of an upstream that counts as cold for d.
func (c coldState) withAssumption(d time.Duration, now time.Time) coldState {
	c.assumedUntil, c.assumedAt = now.Add(d), now
	return c
}

// penalty returns the load that being cold, or having turned warm lately, weighs as much as.
func (c coldState) penalty(now time.Time) float64 {
	if c.isCold(now) {
		return coldPenalty
	}
	warm := c.warmSince
	if u := c.until(); u.After(warm) {
		warm = u
	}
	if age := now.Sub(warm); !warm.IsZero() && age < slowStartTime {
		return coldPenalty * math.Exp2(-max(0, age.Seconds())/slowStartHalfLife.Seconds())
	}
	return 0
}

// setCold records the state of an upstream. The caller holds the lock.
func (t *Table) setCold(s *upstreamState, c coldState) {
	s.cold = c
	if u := c.until(); u.After(t.coldUntil) {
		t.coldUntil = u
	}
}

// ColdChange is a change between cold and warm.
type ColdChange struct {
	Upstream Upstream
	Cold     bool
	// Source is what the change rests on: an announcement, the return of a data centre, or elapsed time.
	Source string
	// Age is the age of the latest announcement, Left how much longer the upstream stays cold.
	Age, Left time.Duration
}

// Sources of a ColdChange.
const (
	coldAnnounced = "announcement"
	coldReturned  = "data_centre_returned"
	coldElapsed   = "elapsed"
)

// source returns what the present state rests on.
func (c coldState) source(now time.Time) string {
	switch {
	case c.isCold(now) && c.assumedUntil.After(c.announcedUntil):
		return coldReturned
	case !c.isCold(now) && !c.until().IsZero():
		return coldElapsed
	}
	return coldAnnounced
}

// TakeColdChanges returns the upstreams that turned cold or warm since the last call, of services for which limited is
// true.
func (t *Table) TakeColdChanges(limited func(service string) bool, now time.Time) []ColdChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ColdChange
	for _, s := range t.upstreams {
		c := s.cold.isCold(now)
		if c == s.cold.reported || !limited(s.Service) {
			continue
		}
		s.cold = s.cold.withReported(c)
		change := ColdChange{Upstream: s.Upstream, Cold: c, Source: s.cold.source(now), Age: now.Sub(s.HeardAt)}
		if c {
			change.Left = s.cold.until().Sub(now)
		}
		out = append(out, change)
	}
	return out
}

// AssumeCold makes the upstreams of a data centre count as cold, each for the time that until returns for its service, or
// until an announcement that arrives from now on says that it is warm. It is to be called when the data centre is taken
// back from evacuation, since upstreams may have turned cold meanwhile. Announcements that arrive within announcementDelay
// do not count yet. It returns the number of upstreams concerned;
// services for which until returns zero are not.
func (t *Table) AssumeCold(dataCentre string, until func(service string) time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.upstreams {
		if s.DataCentre != dataCentre {
			continue
		}
		if d := until(s.Service); d > 0 {
			t.setCold(s, s.cold.withAssumption(d, now))
			n++
		}
	}
	return n
}

// ColdCount returns the number of cold upstreams of services for which limited is true.
func (t *Table) ColdCount(limited func(service string) bool, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.upstreams {
		if s.cold.isCold(now) && limited(s.Service) {
			n++
		}
	}
	return n
}

// WantsPermit returns the upstream that a request would be sent to if this process had a permit for it. It returns false if
// an upstream that may be picked anyway is better.
func (t *Table) WantsPermit(c Criteria, now time.Time) (instance string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.coldUntil) && !t.mayBeCapped {
		return "", false
	}
	permitted := c
	permitted.IgnorePermits = true
	var wanted *upstreamState
	var wantedScore float64
	assumed := t.assumedLoad(c, now)
	for _, s := range t.upstreams {
		if !s.lacksPermit(c, now) || !t.eligible(s, permitted, now, false) {
			continue
		}
		if score := s.score(c, s.load(assumed, now), now); wanted == nil || score < wantedScore {
			wanted, wantedScore = s, score
		}
	}
	if wanted == nil {
		return "", false
	}
	if best := t.best(c, now, false); best != nil && best.score(c, best.load(assumed, now), now) <= wantedScore {
		return "", false
	}
	return wanted.Instance, true
}

// lacksPermit reports whether the upstream may not be picked for lack of a permit.
func (s *upstreamState) lacksPermit(c Criteria, now time.Time) bool {
	needed := (c.LimitCold && s.cold.isCold(now)) || s.rateCap.cap.InForce
	return needed && !c.IgnorePermits && !slices.Contains(c.Permitted, s.Instance)
}
