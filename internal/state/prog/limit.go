package prog

import "time"

// Limits are the settings that bound a program's calls.
type Limits struct {
	// MaxTurns is the maximum number of model calls of one program.
	MaxTurns int
	// MaxOutput is the maximum number of tokens in one response.
	MaxOutput int64
	// GrantChunk is the number of tokens that a grant adds beyond what the current calls need.
	GrantChunk int64
}

// busyRetryAfter is the retry delay returned to a caller whose program is already running a call.
const busyRetryAfter = time.Second
