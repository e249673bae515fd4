package roster

import "time"

// Load is the load report that an upstream sends with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the time that work currently takes on the machine, in percent of the usual time; 0 if not reported.
	Pace int
}

// RecordLoad records a load report that came with an answer.
func (t *Table) RecordLoad(instance string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.upstreams[instance]; ok {
		s.otherRequests, s.loadReportedAt = max(0, l.Running+l.Waiting-s.inFlight), now
		t.learnReport(s, l, now)
	}
}
