package sizing

// Costs per item as measured by bin/measure slopes and bin/measure streams, in bytes and seconds, and rates as set in
// the process settings that are named beside them.
const (
	historyTokenBytes      = 5.7     // bytes of a home's memory per token of history
	logTokenBytes          = 6.6     // bytes in the log per token of a turn
	workspaceBytes         = 1900    // bytes of memory per workspace with four keys
	snapshotWorkspaceBytes = 1141    // bytes of a settings snapshot per workspace with four keys
	sidecarEntryBytes      = 280     // bytes of an entry's table per sidecar
	openStreamBytes        = 122e3   // bytes of an entry's memory per open stream
	reportBytes            = 509     // bytes of a report and its answer
	loanBytes              = 480     // bytes of a loan request and its answer
	pollBytes              = 420     // bytes of one long poll of the log and its answer
	reportSeconds          = 0.35e-6 // seconds per report and sidecar in the table
	changeSeconds          = 0.13e-6 // seconds per change and workspace
	readBackSeconds        = 19e-3   // seconds to read back 240,000 tokens from a stream
	longestHistoryTokens   = 240_000
	streamSeconds          = 10 // seconds that a stream is open, assumed
	secondsPerDay          = 86_400
	reportsPerSecond       = 2    // report_every_ms
	pollsPerSecond         = 1    // tail wait of a follower
	appendsPerSecond       = 12.5 // append_every_ms
	sharesPerWorkspace     = 4    // shares_per_workspace
)
