package home

import (
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/prog"
)

// msg is a message to the control loop.
type msg interface{ isMsg() }

// recordMsg applies a record that was read back from this home's stream.
type recordMsg struct {
	rec  prog.Record
	done chan<- struct{}
}

// installMsg adds a tree of which this home became the holder.
type installMsg struct {
	live prog.LiveTree
	done chan<- struct{}
}

// readTreeMsg asks for the state of a tree and its calls.
type readTreeMsg struct {
	root  string
	reply chan<- readTreeReply
}

// readTreeReply is the answer to readTreeMsg.
type readTreeReply struct {
	live prog.LiveTree
	held bool
}

// modelMsg reserves the next turn of a program for a model call.
type modelMsg struct {
	root   string
	call   prog.ModelCall
	limits prog.Limits
	cancel func()
	reply  chan<- modelReply
}

// modelReply is the answer to modelMsg.
type modelReply struct {
	live  prog.LiveTree
	plan  prog.ModelPlan
	fault *fault.Fault
}

// serviceMsg starts a call of a service that is not a model.
type serviceMsg struct {
	root       string
	call       prog.ServiceCall
	idempotent bool
	cancel     func()
	reply      chan<- serviceReply
}

// serviceReply is the answer to serviceMsg.
type serviceReply struct {
	live  prog.LiveTree
	plan  prog.ServicePlan
	fault *fault.Fault
}

// reserveRetryMsg reserves the tokens of a call again, to retry it after its run was interrupted.
type reserveRetryMsg struct {
	root  string
	need  int64
	reply chan<- bool
}

// finishMsg ends a call: it releases the tokens reserved (need) and charges those used (cost).
type finishMsg struct {
	root, program string
	need, cost    int64
	// records are applied before they are in the log.
	records []prog.Record
	done    chan<- struct{}
}

// checkpointDueMsg asks for the trees whose last checkpoint is older than Options.MaxCheckpointAge.
type checkpointDueMsg struct{ reply chan<- []prog.LiveTree }

// idleMsg asks for the trees without a running call.
type idleMsg struct{ reply chan<- []idleTree }

// idleTree is a tree without a running call and the time since its last call.
type idleTree struct {
	tree prog.Tree
	idle time.Duration
}

// statsMsg asks for the number of trees.
type statsMsg struct{ reply chan<- int }

// Stats is the number of trees that a home holds and of calls that it runs.
type Stats struct{ Trees, Running int }

func (recordMsg) isMsg()        {}
func (installMsg) isMsg()       {}
func (readTreeMsg) isMsg()      {}
func (modelMsg) isMsg()         {}
func (serviceMsg) isMsg()       {}
func (reserveRetryMsg) isMsg()  {}
func (finishMsg) isMsg()        {}
func (checkpointDueMsg) isMsg() {}
func (idleMsg) isMsg()          {}
func (statsMsg) isMsg()         {}
