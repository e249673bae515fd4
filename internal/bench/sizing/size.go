// Package sizing estimates the cost of each role at a deployment size, from the cost per item that the command
// "measure slopes" printed. The page docs/CAPACITY.md lists the estimates, and a test compares the two.
package sizing

// Size describes the size and the load of a deployment.
type Size struct {
	Name                        string
	Entries, Sidecars, Programs float64
	// Requests and Tokens are per second at peak load, Changes are changes of settings per day.
	Requests, Tokens, Changes float64
	Workspaces                float64
	// HistoryTokens is the mean length of a program's history.
	HistoryTokens float64
}

// Today returns the present size of Te Pupuhi. Programs, requests and tokens are assumed, since the requirements do not
// state them.
func Today() Size {
	return Size{
		Name: "today", Entries: 4, Sidecars: 22, Programs: 2000, Requests: 60, Tokens: 5000, Changes: 50,
		Workspaces: 8, HistoryTokens: 8000,
	}
}

// Planned returns the size that the design must support. The mean history is assumed to be a sixth of the longest.
func Planned() Size {
	return Size{
		Name: "planned", Entries: 740, Sidecars: 4600, Programs: 400_000, Requests: 36_000, Tokens: 17e6, Changes: 4300,
		Workspaces: 1100, HistoryTokens: 40_000,
	}
}

// Bounds on the control traffic, memory and processor time of one process, and on the log.
const (
	MaxControlBytesPerSecond = 6000
	MaxMemoryBytes           = 256e6
	// MaxCores is a fraction of one core.
	MaxCores = 0.016
	// MaxLogAppendsPerSecond is the rate of appends that the log accepts.
	MaxLogAppendsPerSecond = 300
)
