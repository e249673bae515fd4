package gate

import (
	"sync"
	"time"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/sched/admit"
)

// admissionStep is the change of a limit from which it is logged.
const admissionStep = 0.25

// admission holds what was learned of the load that each service's engines bear. The zero value is ready for use.
type admission struct {
	mu sync.Mutex
	m  map[string]*serviceAdmission
}

type serviceAdmission struct {
	adaptive admit.Adaptive
	// logged is the limit that was last logged.
	logged float64
}

// record records the time to the first event of a turn, and reports whether the limit has changed by a step.
func (a *admission) record(service string, took, objective time.Duration, now time.Time) (v admit.Adaptive, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.m[service]
	if !ok {
		if a.m == nil {
			a.m = make(map[string]*serviceAdmission)
		}
		s = &serviceAdmission{logged: admit.Adaptive{}.Limit()}
		a.m[service] = s
	}
	s.adaptive = s.adaptive.WithFirstEvent(took, objective, now)
	limit := s.adaptive.Limit()
	if changed = limit >= s.logged+admissionStep || limit <= s.logged-admissionStep; changed {
		s.logged = limit
	}
	return s.adaptive, changed
}

// get returns what was learned of the service's engines.
func (a *admission) get(service string) admit.Adaptive {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.m[service]; ok {
		return s.adaptive
	}
	return admit.Adaptive{}
}

// adaptsAdmission reports whether programs are admitted by how long turns wait at the engines. It needs turns that run
// here, since only they show that.
func (t *turnExecution) adaptsAdmission() bool {
	switch t.gateway.settings.Admission {
	case config.AdmitByLoad:
		return false
	case config.AdmitByOutcome:
		return true
	}
	return t.local
}

// admissionPolicy returns the policy for the turn's program.
func (t *turnExecution) admissionPolicy() admit.Policy {
	if !t.adaptsAdmission() {
		return t.gateway.policy
	}
	return t.gateway.admission.get(t.Service).Apply(t.gateway.policy)
}

// recordFirstEvent records how long the engine took to answer.
func (t *turnExecution) recordFirstEvent(took time.Duration) {
	if !t.adaptsAdmission() {
		return
	}
	if v, changed := t.gateway.admission.record(t.Service, took, t.objective(), time.Now()); changed {
		t.gateway.logEvent("admission_limit", "service", t.Service, "limit", v.Limit(), "wait", v.Wait(),
			"objective_ms", t.ObjectiveMS)
	}
}
