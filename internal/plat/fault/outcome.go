package fault

// Outcome tells whether a failed request was executed by an upstream.
type Outcome string

const (
	// NotRun guarantees that nothing was sent to an upstream.
	NotRun Outcome = "not_run"
	// Ran means that the upstream ran the request although the caller received no complete response.
	Ran Outcome = "ran"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)
