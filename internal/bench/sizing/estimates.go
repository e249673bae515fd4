package sizing

// Mechanisms to use at sizes where the present ones exceed their bounds.
const (
	reportsAlternative  = "each sidecar reports to 3 entries every 2 s; other entries ask the VM list for its address"
	loansAlternative    = "one message a second from an entry to one owner with the demand of all workspaces"
	appendsAlternative  = "16 processes append for all others, 20 times a second each"
	takeoverAlternative = "one successor for a dead home, which reads its stream once"
	pollsAlternative    = "16 processes follow the log; the others learn by reports"
)

// Estimates returns the costs of every role in a deployment of the size.
func Estimates(s Size) []Estimate {
	programsPerSidecar := s.Programs / s.Sidecars
	requestsPerEntry := s.Requests / s.Entries
	settings := s.Workspaces * workspaceBytes
	reports := s.Sidecars * reportsPerSecond
	loans := requestsPerEntry * max(0, 1-sharesPerWorkspace/s.Entries) * min(sharesPerWorkspace, s.Entries-1)
	return []Estimate{
		{Role: "entry", Quantity: "streams open", Value: requestsPerEntry * streamSeconds, Unit: ""},
		{
			Role: "entry", Quantity: "memory: streams, settings, members",
			Value: requestsPerEntry*streamSeconds*openStreamBytes + settings + s.Sidecars*sidecarEntryBytes,
			Unit:  "B", Bound: MaxMemoryBytes, Alternative: "multiplexed connections",
		},
		{
			Role: "entry", Quantity: "control: reports received",
			Value: reports * reportBytes, Unit: "B/s", Bound: MaxControlBytesPerSecond, Alternative: reportsAlternative,
		},
		{
			Role: "entry", Quantity: "control: loans at the worst",
			Value: loans * loanBytes, Unit: "B/s", Bound: MaxControlBytesPerSecond, Alternative: loansAlternative,
		},
		{
			Role: "entry", Quantity: "processor: reports applied",
			Value: reports * s.Sidecars * reportSeconds, Unit: "cores", Bound: MaxCores, Alternative: reportsAlternative,
		},
		{
			Role: "entry", Quantity: "processor: settings changes",
			Value: s.Changes / secondsPerDay * s.Workspaces * changeSeconds, Unit: "cores", Bound: MaxCores,
		},
		{Role: "sidecar", Quantity: "programs held", Value: programsPerSidecar, Unit: ""},
		{
			Role: "sidecar", Quantity: "memory: histories, settings",
			Value: programsPerSidecar*s.HistoryTokens*historyTokenBytes + settings,
			Unit:  "B", Bound: MaxMemoryBytes, Alternative: "histories of paused programs leave memory",
		},
		{
			Role: "sidecar", Quantity: "memory: histories if all are the longest",
			Value: programsPerSidecar*longestHistoryTokens*historyTokenBytes + settings,
			Unit:  "B", Bound: MaxMemoryBytes, Alternative: "histories of paused programs leave memory",
		},
		{
			Role: "sidecar", Quantity: "control: reports sent",
			Value: s.Entries * reportsPerSecond * reportBytes,
			Unit:  "B/s", Bound: MaxControlBytesPerSecond, Alternative: reportsAlternative,
		},
		{
			Role: "sidecar", Quantity: "takeover: read back one program of the longest history",
			Value: programsPerSidecar * s.HistoryTokens / longestHistoryTokens * readBackSeconds,
			Unit:  "s", Bound: 1, Alternative: takeoverAlternative,
		},
		{
			Role: "sidecar", Quantity: "takeover: bytes read for all programs of a dead home",
			Value: programsPerSidecar * programsPerSidecar * s.HistoryTokens * logTokenBytes,
			Unit:  "B", Bound: 1e9, Alternative: takeoverAlternative,
		},
		{
			Role: "log", Quantity: "appends at the most",
			Value: s.Sidecars * appendsPerSecond, Unit: "/s", Bound: MaxLogAppendsPerSecond, Alternative: appendsAlternative,
		},
		{Role: "log", Quantity: "bytes of turns", Value: s.Tokens * logTokenBytes, Unit: "B/s"},
		{
			Role: "log", Quantity: "long polls",
			Value: (s.Entries + 2*s.Sidecars) * pollsPerSecond, Unit: "/s", Bound: 1000, Alternative: pollsAlternative,
		},
		{
			Role: "any", Quantity: "control: polls of the log",
			Value: 2 * pollsPerSecond * pollBytes, Unit: "B/s", Bound: MaxControlBytesPerSecond,
		},
		{Role: "any", Quantity: "settings snapshot", Value: s.Workspaces * snapshotWorkspaceBytes, Unit: "B"},
	}
}

// LimitingSizes returns the sizes at which the present mechanisms reach their bounds.
func LimitingSizes() []Estimate {
	return []Estimate{
		{
			Role: "entry", Quantity: "sidecars that report to it, by bytes",
			Value: MaxControlBytesPerSecond / (reportsPerSecond * reportBytes), Unit: "sidecars",
		},
		{
			Role: "entry", Quantity: "loan rounds",
			Value: MaxControlBytesPerSecond / (loanBytes * sharesPerWorkspace), Unit: "/s",
		},
		{Role: "log", Quantity: "sidecars that append", Value: MaxLogAppendsPerSecond / appendsPerSecond, Unit: "sidecars"},
	}
}
