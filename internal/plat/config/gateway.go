package config

import "fmt"

// Gateway holds the settings of a gateway process.
type Gateway struct {
	// VM is the name of the machine, unique among live VMs.
	VM string `json:"vm"`
	// DataCentre names the data centre of the machine.
	DataCentre string `json:"data_centre"`
	// ListenCallers is the IP address and port for callers.
	ListenCallers string `json:"listen_callers"`
	// ListenReady is the IP address and port that the balancer asks for readiness.
	ListenReady string `json:"listen_ready"`
	// ListenPeers is the IP address and port for other gateways.
	ListenPeers string `json:"listen_peers"`
	// Seeds are addresses of other gateways' peers' interface, some of which may be gone. They are asked while no peer is
	// known.
	Seeds []string `json:"seeds"`
	// ListenOperators is the IP address and port for metrics; empty for none.
	ListenOperators string `json:"listen_operators"`
	// LogAddress is the IP address and port of the platform's log service.
	LogAddress string `json:"log_address"`
	// Partitions is the number of partitions over which programs are spread; it must never change.
	Partitions int64 `json:"partitions"`
	// RecordBytes is the size of the largest record that the log takes. The input and the answer of a turn share one.
	RecordBytes int64 `json:"record_bytes"`
	// FirstStart says that the deployment starts for the first time, so that the log holds nothing.
	FirstStart bool `json:"first_start"`
	// MemoryMB bounds the memory of the process in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// MaxConnections bounds open connections of callers.
	MaxConnections int64 `json:"max_connections"`
	// StopMS bounds a graceful stop in milliseconds.
	StopMS int64 `json:"stop_ms"`
	// LogDebug logs events of level debug too.
	LogDebug bool `json:"log_debug"`
}

// DefaultGateway returns the settings that hold for fields that a file leaves out.
func DefaultGateway() *Gateway {
	return &Gateway{
		ListenCallers: "127.0.0.1:8080", ListenReady: "127.0.0.1:8081", ListenPeers: "127.0.0.1:8082",
		Partitions: 12, RecordBytes: 256 << 10, MemoryMB: 256, MaxConnections: 4000, StopMS: 8000,
	}
}

// Faults returns every invalid field.
func (g *Gateway) Faults() []FieldFault {
	fs := required("vm", g.VM)
	fs = append(fs, required("data_centre", g.DataCentre)...)
	fs = append(fs, address("listen_callers", g.ListenCallers)...)
	fs = append(fs, address("listen_ready", g.ListenReady)...)
	fs = append(fs, address("listen_peers", g.ListenPeers)...)
	for i, s := range g.Seeds {
		fs = append(fs, address(fmt.Sprintf("seeds[%d]", i), s)...)
	}
	if g.ListenOperators != "" {
		fs = append(fs, address("listen_operators", g.ListenOperators)...)
	}
	fs = append(fs, address("log_address", g.LogAddress)...)
	fs = append(fs, atLeast("partitions", g.Partitions, 1)...)
	fs = append(fs, atLeast("record_bytes", g.RecordBytes, 16<<10)...)
	fs = append(fs, atLeast("memory_mb", g.MemoryMB, 32)...)
	fs = append(fs, atLeast("max_connections", g.MaxConnections, 1)...)
	fs = append(fs, atLeast("stop_ms", g.StopMS, 0)...)
	if g.ListenCallers == g.ListenPeers {
		fs = append(fs, FieldFault{Field: "listen_peers", Problem: fmt.Sprintf("%q is listen_callers too", g.ListenPeers)})
	}
	return fs
}
