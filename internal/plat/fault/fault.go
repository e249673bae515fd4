// Package fault holds the error type that crosses galenaward's processes. Every fault names the step and the
// peer at which it arose, and whether the request ran:
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
	// Code is the stable name of the failure.
	Code Code `json:"code"`
	// Message is meant for people and names the field and value at fault.
	Message string `json:"message"`
	// Step is the step of the request at which the fault arose, such as "admit" or "dispatch".
	Step string `json:"step"`
	// Peer is the VM at which the fault arose.
	Peer string `json:"peer"`
	// Outcome is NotRun only if nothing was sent to an upstream.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is how many milliseconds to wait before a repeat; zero when a repeat does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Holder is the instance that holds the program; set with code Moved only.
	Holder string `json:"holder,omitempty"`
	// Down says that nothing listens at the peer's address, so that its process is gone. It stays in this process.
	Down bool `json:"-"`
	// Crash is set when the upstream died while it ran the request.
	Crash *Crash `json:"crash,omitempty"`
}

// Crash identifies a request that ran when an upstream died, and that event.
type Crash struct {
	Fingerprint uint64 `json:"fingerprint"`
	Event       string `json:"event"`
}

// New returns a fault for a request that did not run.
func New(c Code, step, peer, format string, args ...any) *Fault {
	return &Fault{Code: c, Step: step, Peer: peer, Outcome: NotRun, Message: fmt.Sprintf(format, args...)}
}

// Error returns code, step, peer and message on one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s at step %s on %s: %s", f.Code, f.Step, f.Peer, f.Message)
}

// WithOutcome returns a copy with the outcome.
func (f *Fault) WithOutcome(o Outcome) *Fault {
	c := *f
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	c := *f
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// WithHolder returns a copy that names the instance holding the program.
func (f *Fault) WithHolder(instance string) *Fault {
	c := *f
	c.Holder = instance
	return &c
}

// WithDown returns a copy that says whether nothing listens at the peer's address.
func (f *Fault) WithDown(down bool) *Fault {
	c := *f
	c.Down = down
	return &c
}

// WithCrash returns a copy that tells of an upstream's death.
func (f *Fault) WithCrash(fingerprint uint64, event string) *Fault {
	c := *f
	c.Crash = &Crash{Fingerprint: fingerprint, Event: event}
	return &c
}

// From returns the fault inside err, or an Internal fault with outcome Unknown that wraps its text.
func From(err error, step, peer string) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return New(Internal, step, peer, "%s", err).WithOutcome(Unknown)
}

// Is reports whether err carries a fault with the code.
func Is(err error, c Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == c
}
