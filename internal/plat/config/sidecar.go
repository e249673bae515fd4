package config

// Sidecar holds the settings of a sidecar process.
type Sidecar struct {
	Common
	// UpstreamURL is the base URL of the upstream on the same VM.
	UpstreamURL string `json:"upstream_url"`
	// Service is the name of the service that the upstream provides; empty if the upstream is a model engine.
	Service string `json:"service"`
	// Models are the models that the engine serves; empty if Service is set.
	Models []string `json:"models"`
	// Capacity is the number of requests that the upstream runs concurrently.
	Capacity int64 `json:"capacity"`
	// QueueLimit bounds the number of requests that wait for the upstream.
	QueueLimit int64 `json:"queue_limit"`
	// EnginePriorities reports whether the engine accepts a priority with each request. Lower values run first.
	EnginePriorities bool `json:"engine_priorities"`
	// EngineMemoryTokens is the size of the engine's cache memory in tokens; zero if unknown.
	EngineMemoryTokens int64 `json:"engine_memory_tokens"`
	// ChecksFencing reports whether the engine rejects orders with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// AppendEveryMS is the minimum time between two appends to the log by this process.
	AppendEveryMS int64 `json:"append_every_ms"`
	// BudgetChunkTokens is the number of tokens of a program's budget that one record in the log reserves.
	BudgetChunkTokens int64 `json:"budget_chunk_tokens"`
	// ResidencyLeaseMS is how long engine memory stays reserved for a program that makes no call.
	ResidencyLeaseMS int64 `json:"residency_lease_ms"`
	// RecheckpointMS is the age at which a program's records are appended again. It must be well below the log's
	// retention time.
	RecheckpointMS int64 `json:"recheckpoint_ms"`
}

// DefaultSidecar returns the default values of a sidecar's settings.
func DefaultSidecar() *Sidecar {
	return &Sidecar{
		Common: defaultCommon(), Capacity: 8, QueueLimit: 256, AppendEveryMS: 80, BudgetChunkTokens: 20_000,
		ResidencyLeaseMS: 600_000, RecheckpointMS: 3_600_000, EnginePriorities: true,
	}
}

// Validate returns every invalid field.
func (s *Sidecar) Validate() []FieldError {
	errs := s.validateCommon()
	errs = append(errs, checkURL("upstream_url", s.UpstreamURL)...)
	if s.Service == "" && len(s.Models) == 0 {
		errs = append(errs, FieldError{Field: "models", Problem: "must name at least one model unless service is set"})
	}
	if s.Service != "" && len(s.Models) != 0 {
		errs = append(errs, FieldError{Field: "models", Problem: "must be empty when service is set"})
	}
	errs = append(errs, checkMin("capacity", s.Capacity, 1)...)
	errs = append(errs, checkMin("queue_limit", s.QueueLimit, 0)...)
	errs = append(errs, checkMin("engine_memory_tokens", s.EngineMemoryTokens, 0)...)
	errs = append(errs, checkMin("append_every_ms", s.AppendEveryMS, 0)...)
	errs = append(errs, checkMin("budget_chunk_tokens", s.BudgetChunkTokens, 1)...)
	errs = append(errs, checkMin("recheckpoint_ms", s.RecheckpointMS, 100)...)
	return append(errs, checkMin("residency_lease_ms", s.ResidencyLeaseMS, 10)...)
}
