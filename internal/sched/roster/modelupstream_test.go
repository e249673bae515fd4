package roster

import (
	"slices"
	"time"
)

type modelJob struct {
	gateway *modelGateway
	arrived time.Duration
	// work is in seconds at the usual speed, left is what remains of it.
	work, left float64
	started    time.Duration
}

type modelUpstream struct {
	number           int
	id               string
	dc               int
	speed, slowdown  float64
	running, waiting []*modelJob
	advancedAt       time.Duration
	version          int
}

// fill starts waiting jobs while slots are free.
func (m *model) fill(u *modelUpstream) {
	for len(u.waiting) > 0 && len(u.running) < m.slots {
		j := u.waiting[0]
		u.waiting = u.waiting[1:]
		j.started = m.now
		u.running = append(u.running, j)
		if m.engine {
			m.sendReport(u, j.gateway)
		}
	}
}

// rate returns the work that each running job does in a second.
func (m *model) rate(u *modelUpstream) float64 {
	if u.number < m.frozen && m.now >= modelFreeze && m.now < modelFreeze+modelFrozen {
		return 0
	}
	r := u.speed / u.slowdown
	n := float64(len(u.running))
	if m.engine {
		r *= 2.3 / (2.27 + 0.09*n)
	}
	if knee := m.kneeOf * float64(m.slots); knee > 0 && u.number%2 == 1 && m.now >= m.kneeFrom && m.now < m.kneeUntil {
		r *= min(1, knee/max(1, n))
	}
	return r
}

func (m *model) advance(u *modelUpstream) {
	done := m.rate(u) * (m.now - u.advancedAt).Seconds()
	for _, j := range u.running {
		j.left -= done
	}
	u.advancedAt = m.now
}

// schedule plans the end of the job that ends next.
func (m *model) schedule(u *modelUpstream) {
	u.version++
	if len(u.running) == 0 || m.rate(u) == 0 {
		return
	}
	next := slices.MinFunc(u.running, func(a, b *modelJob) int {
		if a.left < b.left {
			return -1
		}
		return 1
	})
	version := u.version
	m.after(time.Duration(max(0, next.left/m.rate(u))*float64(time.Second)), func() {
		if u.version == version {
			m.advance(u)
			m.end(u, next)
		}
	})
}

func (m *model) end(u *modelUpstream, j *modelJob) {
	ended := m.now
	if !m.engine {
		m.sendReport(u, j.gateway)
	}
	u.running = slices.DeleteFunc(u.running, func(x *modelJob) bool { return x == j })
	m.fill(u)
	m.schedule(u)
	g := j.gateway
	m.after(modelDistances[g.dc][u.dc], func() {
		m.record(j.arrived, m.now)
		whole := m.now - j.arrived
		g.table.Done(u.id, Answered, m.clock())
		if m.engine {
			interval := time.Duration(float64(ended-j.started) * m.meanWork() / j.work / modelTokens)
			ratio := g.typical.Ratio(interval)
			g.typical = g.typical.WithTime(interval)
			g.table.RecordTime(u.id, ratio, m.clock())
			g.table.LearnTime(u.id, ratio, true, m.clock())
		} else {
			g.table.RecordTime(u.id, g.typical.Ratio(whole), m.clock())
			g.typical = g.typical.WithTime(whole)
			net := max(0, whole-g.distances.RoundTrip(dcName(g.dc), dcName(u.dc)))
			g.table.LearnTime(u.id, g.learnedTypical.Ratio(net), true, m.clock())
			g.learnedTypical = g.learnedTypical.WithTime(net)
		}
		g.request = g.request.WithTime(whole)
	})
}

// sendReport sends the present load of the upstream to the gateway.
func (m *model) sendReport(u *modelUpstream, g *modelGateway) {
	l := Load{Running: len(u.running), Waiting: len(u.waiting), Slots: m.slots}
	if pace := 100 * u.slowdown; !m.noPace {
		if m.paceWithSpeed {
			pace /= u.speed
		}
		l.Pace = int(pace)
	}
	if u.number < m.liars {
		l = m.lie
	}
	if m.lost > 0 && m.rng.Float64() < m.lost {
		return
	}
	m.after(modelDistances[g.dc][u.dc]+m.late, func() { g.table.RecordLoad(u.id, l, m.clock()) })
}

// interfere slows the machine of the upstream for a while.
func (m *model) interfere(u *modelUpstream) {
	m.advance(u)
	u.slowdown = 2.5
	m.schedule(u)
	m.after(600*time.Millisecond, func() {
		m.advance(u)
		u.slowdown = 1
		m.schedule(u)
		m.after(time.Duration(m.rng.ExpFloat64()*float64(3400*time.Millisecond)), func() { m.interfere(u) })
	})
}

// flip moves the speeds on by one upstream.
func (m *model) flip(by int) {
	for _, u := range m.upstreams {
		m.advance(u)
		u.speed = m.speeds[(u.number+by)%len(m.speeds)]
		m.schedule(u)
	}
	m.after(m.flipEvery, func() { m.flip(by + 1) })
}
