package runner

import "galenaward.example/galenaward/internal/wire/peer"

// msg is a message to the control loop.
type msg interface{ isMsg() }

// submitMsg submits a new job.
type submitMsg struct{ j *job }

// runEndedMsg reports that the run of a job on the upstream has ended.
type runEndedMsg struct {
	j *job
	r result
}

// contextDoneMsg reports that a job's context is done.
type contextDoneMsg struct{ j *job }

// crashReportMsg carries crashes that other processes observed.
type crashReportMsg struct{ crashes []peer.CrashRecord }

// loadMsg requests the current load.
type loadMsg struct{ reply chan<- Load }

// probeMsg carries the result of a health probe.
type probeMsg struct{ up bool }

// leaveMsg reports that the upstream is leaving.
type leaveMsg struct{}

func (submitMsg) isMsg()      {}
func (runEndedMsg) isMsg()    {}
func (contextDoneMsg) isMsg() {}
func (crashReportMsg) isMsg() {}
func (loadMsg) isMsg()        {}
func (probeMsg) isMsg()       {}
func (leaveMsg) isMsg()       {}

// Load is the load and health of the upstream, and the crashes recorded for its requests.
type Load struct {
	Running, Queued, Capacity int
	UpstreamUp, Leaving       bool
	Crashes                   []peer.CrashRecord
}
