package config

import "time"

// CallerLimits are the settings that bound what callers may use. No default is reached by a caller that stays within the
// limits of the operator's configuration.
type CallerLimits struct {
	// MaxConnections bounds the number of open connections from callers. Fewer are accepted if memory_mb or max_fds
	// allow fewer.
	MaxConnections int64 `json:"max_connections"`
	// MaxConnectionsPerAddress bounds the open connections from one address; zero for no bound, since the platform
	// forwards the connections of many callers from one address.
	MaxConnectionsPerAddress int64 `json:"max_connections_per_address"`
	// MaxHeaderBytes bounds the request line and headers; the operator may configure a lower limit.
	MaxHeaderBytes int64 `json:"max_header_bytes"`
	// MaxHeaderLines bounds the lines of a head. The default is as many as fit into max_header_bytes: the shortest valid
	// line has four bytes.
	MaxHeaderLines int64 `json:"max_header_lines"`
	// MaxLeadingBytes bounds the empty lines before a request. Clients send two bytes at most; the default allows more
	// than the four that the HTTP server skips.
	MaxLeadingBytes int64 `json:"max_leading_bytes"`
	// HeadTimeoutMS bounds the time that a caller may take to send the head of a request, ReadTimeoutMS that for the
	// whole request. The defaults are the longest headerTimeoutMs that operators configure.
	HeadTimeoutMS int64 `json:"head_timeout_ms"`
	ReadTimeoutMS int64 `json:"read_timeout_ms"`
	// WriteTimeoutMS bounds the time in which a caller must take the next part of a response, at most 64 KB.
	WriteTimeoutMS int64 `json:"write_timeout_ms"`
	// IdleTimeoutMS is how long an idle connection is kept open. The default exceeds what operators configure.
	IdleTimeoutMS int64 `json:"idle_timeout_ms"`
	// RequestMemoryMB bounds the memory of requests that are read and not yet answered; zero for a quarter of memory_mb,
	// which leaves half for what the garbage collector has not freed.
	RequestMemoryMB int64 `json:"request_memory_mb"`
	// AnswerMemoryMB bounds the memory of answers that are held, beyond a part of each that an ordinary one does not exceed;
	// zero for an eighth of memory_mb.
	AnswerMemoryMB int64 `json:"answer_memory_mb"`
	// RequestMemoryWaitMS is how long a request waits for memory before it is refused. The default is short against the
	// time limits of routes.
	RequestMemoryWaitMS int64 `json:"request_memory_wait_ms"`
}

const (
	// fileFDs are the descriptors of a VM that the platform keeps for files.
	fileFDs = 200
	// connectionMemory is the memory of a connection that carries a small request: two stacks, the buffers of the server,
	// the part of a head that is not reserved, and a connection to an upstream.
	connectionMemory = 32 << 10
	// connectionShare, requestShare and answerShare are the divisors of memory_mb for connections, requests and answers.
	connectionShare = 4
	requestShare    = 4
	answerShare     = 8
	// leastConnections is the number of connections that are accepted whatever the memory is.
	leastConnections = 64
)

func defaultCallerLimits() CallerLimits {
	return CallerLimits{
		MaxConnections: 4000, MaxHeaderBytes: 64 << 10, MaxHeaderLines: 16 << 10, MaxLeadingBytes: 64,
		HeadTimeoutMS: 10_000, ReadTimeoutMS: 10_000, WriteTimeoutMS: 10_000, IdleTimeoutMS: 60_000,
		RequestMemoryWaitMS: 500,
	}
}

func (l *CallerLimits) validateCallerLimits() []FieldError {
	errs := checkMin("max_connections", l.MaxConnections, 1)
	errs = append(errs, checkMin("max_connections_per_address", l.MaxConnectionsPerAddress, 0)...)
	errs = append(errs, checkMin("max_header_bytes", l.MaxHeaderBytes, 1024)...)
	errs = append(errs, checkMin("max_header_lines", l.MaxHeaderLines, 16)...)
	errs = append(errs, checkMin("max_leading_bytes", l.MaxLeadingBytes, 4)...)
	errs = append(errs, checkMin("head_timeout_ms", l.HeadTimeoutMS, 10)...)
	errs = append(errs, checkMin("read_timeout_ms", l.ReadTimeoutMS, l.HeadTimeoutMS)...)
	errs = append(errs, checkMin("write_timeout_ms", l.WriteTimeoutMS, 10)...)
	errs = append(errs, checkMin("idle_timeout_ms", l.IdleTimeoutMS, 10)...)
	errs = append(errs, checkMin("request_memory_mb", l.RequestMemoryMB, 0)...)
	errs = append(errs, checkMin("answer_memory_mb", l.AnswerMemoryMB, 0)...)
	return append(errs, checkMin("request_memory_wait_ms", l.RequestMemoryWaitMS, 0)...)
}

// CallerConnections returns the number of connections from callers that the process accepts.
func (g *Gateway) CallerConnections() int { return g.connections(g.MaxConnections, 2) }

// PeerConnections returns the number of connections from other gateways that the process accepts.
func (g *Gateway) PeerConnections() int { return g.connections(g.MaxConnections, 4) }

// connections returns the least of limit, the connections that memory allows, and a fraction of the descriptors.
func (g *Gateway) connections(limit, fraction int64) int {
	limit = min(limit, max(leastConnections, g.MemoryMB<<20/connectionShare/connectionMemory))
	if g.MaxFDs > 0 {
		limit = min(limit, (g.MaxFDs-fileFDs)/fraction)
	}
	return int(limit)
}

// RequestMemory returns the bound on the memory of callers' requests in bytes.
func (g *Gateway) RequestMemory() int64 {
	if g.RequestMemoryMB > 0 {
		return g.RequestMemoryMB << 20
	}
	return g.MemoryMB << 20 / requestShare
}

// PeerRequestMemory returns the bound on the memory of other gateways' requests in bytes. It is a budget of its own, so that
// callers cannot use it up.
func (g *Gateway) PeerRequestMemory() int64 { return g.RequestMemory() / 2 }

// AnswerMemory returns the bound on the memory of answers in bytes.
func (g *Gateway) AnswerMemory() int64 {
	if g.AnswerMemoryMB > 0 {
		return g.AnswerMemoryMB << 20
	}
	return g.MemoryMB << 20 / answerShare
}

// RequestMemoryWait returns how long a request waits for memory.
func (l *CallerLimits) RequestMemoryWait() time.Duration { return Millis(l.RequestMemoryWaitMS) }
