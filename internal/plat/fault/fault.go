// Package fault implements the error type that galenaward's processes return to callers and exchange with each other.
// Every fault contains the step and the peer at which it arose, and whether the request was executed:
//
//	return fault.New(fault.NoUpstream, "route", vm, "no live upstream serves model %q", model)
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is an error that a caller can act on. It is immutable; With methods return changed copies.
type Fault struct {
	// Code is the stable identifier of the failure.
	Code Code `json:"code"`
	// Message describes the failure for people and contains the invalid field and value.
	Message string `json:"message"`
	// Step is the processing step at which the fault arose, such as "admit" or "dispatch".
	Step string `json:"step"`
	// Peer is the VM at which the fault arose.
	Peer string `json:"peer"`
	// Outcome is NotRun only if nothing was sent to an upstream.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is the number of milliseconds to wait before a retry; zero if a retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Holder is the instance that holds the program; set only with code ProgramMoved.
	Holder string `json:"holder,omitempty"`
	// PeerDown reports that nothing listens at the peer's address, so its process has exited. It is not encoded.
	PeerDown bool `json:"-"`
	// Crash is set if the upstream crashed while it ran the request.
	Crash *Crash `json:"crash,omitempty"`
}

// Crash identifies a request that ran when an upstream crashed, and the crash.
type Crash struct {
	Fingerprint uint64 `json:"fingerprint"`
	// ID is the id of the crash.
	ID string `json:"event"`
}

// New returns a fault with outcome NotRun.
func New(c Code, step, peer, format string, args ...any) *Fault {
	return &Fault{Code: c, Step: step, Peer: peer, Outcome: NotRun, Message: fmt.Sprintf(format, args...)}
}

// Error returns code, step, peer and message on one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s at step %s on %s: %s", f.Code, f.Step, f.Peer, f.Message)
}

// WithOutcome returns a copy with the given outcome.
func (f *Fault) WithOutcome(o Outcome) *Fault {
	c := *f
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy that tells the caller how long to wait before a retry.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	c := *f
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// WithHolder returns a copy with the instance that holds the program.
func (f *Fault) WithHolder(instance string) *Fault {
	c := *f
	c.Holder = instance
	return &c
}

// WithPeerDown returns a copy that records whether nothing listens at the peer's address.
func (f *Fault) WithPeerDown(down bool) *Fault {
	c := *f
	c.PeerDown = down
	return &c
}

// WithCrash returns a copy with the upstream's crash.
func (f *Fault) WithCrash(fingerprint uint64, event string) *Fault {
	c := *f
	c.Crash = &Crash{Fingerprint: fingerprint, ID: event}
	return &c
}

// FromError returns the fault that err wraps, or an Internal fault with outcome Unknown and the text of err.
func FromError(err error, step, peer string) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return New(Internal, step, peer, "%s", err).WithOutcome(Unknown)
}

// HasCode reports whether err wraps a fault with the code.
func HasCode(err error, c Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == c
}
