package config

import "fmt"

// Entry holds the settings of an entry process.
type Entry struct {
	Common
	// ListenCallers is the IP address and port for callers and operator commands.
	ListenCallers string `json:"listen_callers"`
	// OperatorKeyDigests are the hex SHA-256 digests of the operators' keys.
	OperatorKeyDigests []string `json:"operator_key_digests"`
	// Slot is the index of this entry's rate slot, from zero to Slots-1, unique among entries.
	Slot int64 `json:"slot"`
	// Slots is the number of entries over which the rates of workspaces are divided.
	Slots int64 `json:"slots"`
	// SharesPerWorkspace is the number of slots over which one workspace's rate is divided.
	SharesPerWorkspace int64 `json:"shares_per_workspace"`
	// SlotLeaseMS is how long a slot stays with its holder after the last renewal in the log.
	SlotLeaseMS int64 `json:"slot_lease_ms"`
	// SlotOutageMS is how long slot holders confirm each other's slots while the log is unavailable. A successor that
	// cannot ask every other holder waits for the same time.
	SlotOutageMS int64 `json:"slot_outage_ms"`
	// SuspectAfterMS is how long a sidecar may send no report before its programs are moved to others.
	SuspectAfterMS int64 `json:"suspect_after_ms"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// ReadTimeoutMS bounds the time that a caller may take to send a request.
	ReadTimeoutMS int64 `json:"read_timeout_ms"`
	// IdleTimeoutMS is how long a caller's idle connection is kept open.
	IdleTimeoutMS int64 `json:"idle_timeout_ms"`
	// MaxConnections bounds the number of open connections from callers.
	MaxConnections int64 `json:"max_connections"`
	// WriteTimeoutMS bounds the time in which a caller must take the next part of an answer, at most 64 KB.
	WriteTimeoutMS int64 `json:"write_timeout_ms"`
	// RequestMemoryMB bounds the memory of callers' requests that are read and not yet answered. The default holds 64 of
	// the largest bodies.
	RequestMemoryMB int64 `json:"request_memory_mb"`
	// UnreadyMS is how long an entry that shuts down reports unready before it refuses connections.
	UnreadyMS int64 `json:"unready_ms"`
}

// DefaultEntry returns the default values of an entry's settings.
func DefaultEntry() *Entry {
	return &Entry{
		Common: defaultCommon(), ListenCallers: "127.0.0.1:8080", Slots: 1, SharesPerWorkspace: 4,
		SlotLeaseMS: 30_000, SlotOutageMS: 3_600_000, SuspectAfterMS: 3000, MaxBodyBytes: 4 << 20, ReadTimeoutMS: 10_000,
		IdleTimeoutMS: 60_000, MaxConnections: 20_000, WriteTimeoutMS: 30_000, RequestMemoryMB: 256, UnreadyMS: 1000,
	}
}

// Validate returns every invalid field.
func (e *Entry) Validate() []FieldError {
	errs := e.validateCommon()
	errs = append(errs, checkAddress("listen_callers", e.ListenCallers)...)
	errs = append(errs, checkMin("slots", e.Slots, 1)...)
	errs = append(errs, checkMin("slot", e.Slot, 0)...)
	errs = append(errs, checkMin("shares_per_workspace", e.SharesPerWorkspace, 1)...)
	errs = append(errs, checkMin("slot_lease_ms", e.SlotLeaseMS, 100)...)
	errs = append(errs, checkMin("slot_outage_ms", e.SlotOutageMS, e.SlotLeaseMS)...)
	errs = append(errs, checkMin("suspect_after_ms", e.SuspectAfterMS, 50)...)
	errs = append(errs, checkMin("max_body_bytes", e.MaxBodyBytes, 1024)...)
	errs = append(errs, checkMin("read_timeout_ms", e.ReadTimeoutMS, 10)...)
	errs = append(errs, checkMin("idle_timeout_ms", e.IdleTimeoutMS, 10)...)
	errs = append(errs, checkMin("max_connections", e.MaxConnections, 1)...)
	errs = append(errs, checkMin("write_timeout_ms", e.WriteTimeoutMS, 10)...)
	errs = append(errs, checkMin("request_memory_mb", e.RequestMemoryMB, 1)...)
	errs = append(errs, checkMin("unready_ms", e.UnreadyMS, 0)...)
	if e.Slot >= e.Slots {
		errs = append(errs, FieldError{
			Field:   "slot",
			Problem: fmt.Sprintf("%d must be less than slots, which is %d", e.Slot, e.Slots),
		})
	}
	for _, d := range e.OperatorKeyDigests {
		if !isDigest(d) {
			errs = append(errs, FieldError{
				Field:   "operator_key_digests",
				Problem: fmt.Sprintf("%q is not a SHA-256 digest of 64 lower-case hex digits", d),
			})
		}
	}
	return errs
}

func isDigest(s string) bool {
	if len(s) != 64 {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}
