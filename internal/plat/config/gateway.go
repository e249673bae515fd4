package config

import (
	"fmt"
	"maps"
	"slices"
)

// Gateway holds the settings of a gateway process.
type Gateway struct {
	// VM is the name of the VM, unique among live VMs.
	VM string `json:"vm"`
	// DataCentre is the name of the VM's data centre.
	DataCentre string `json:"data_centre"`
	// Regions maps the names of data centres to their regions. It is needed only where the configuration restricts requests
	// to regions; a data centre that is missing is in no region, so that a restricted request never reaches it.
	Regions map[string]string `json:"regions"`
	// ListenCallers is the IP address and port for callers.
	ListenCallers string `json:"listen_callers"`
	// ListenReady is the IP address and port for the load balancer's readiness checks.
	ListenReady string `json:"listen_ready"`
	// ListenPeers is the IP address and port for other gateways.
	ListenPeers string `json:"listen_peers"`
	// AdvertisePeers is the address announced to other gateways; ListenPeers if empty.
	AdvertisePeers string `json:"advertise_peers"`
	// Seeds are addresses of the peer interfaces of other gateways, not all of which need to exist. They are contacted
	// while no peer is known.
	Seeds []string `json:"seeds"`
	// ListenOperators is the IP address and port for metrics; empty for none.
	ListenOperators string `json:"listen_operators"`
	// LogAddress is the IP address and port of the platform's log service.
	LogAddress string `json:"log_address"`
	// Partitions is the number of partitions over which programs are distributed. It must never change.
	Partitions int64 `json:"partitions"`
	// RecordBytes is the maximum size of a record in the log. The input and the response of a turn share one record.
	RecordBytes int64 `json:"record_bytes"`
	// AppendBytes is the maximum size of all records of one append to the log.
	AppendBytes int64 `json:"append_bytes"`
	// FirstStart reports that the deployment starts for the first time, so that an empty log is expected.
	FirstStart bool `json:"first_start"`
	// MemoryMB bounds the memory of the process in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// MaxFDs is the number of file descriptors of the VM, which bounds connections; zero if unknown.
	MaxFDs int64 `json:"max_fds"`
	CallerLimits
	// StopMS bounds a graceful stop in milliseconds.
	StopMS int64 `json:"stop_ms"`
	// LocalTurns says where turns on routes that keep no history run: "on" for the gateway that received them, "off" for
	// the home of their program, "auto" for "on" while no route of the configuration keeps history.
	LocalTurns string `json:"local_turns"`
	// Admission says how programs are admitted: "load" by a fixed load of the engines, "outcome" by how long turns wait at
	// the engines, "auto" by the latter for turns that run at the gateway that received them.
	Admission string `json:"admission"`
	// LearnedCapacity says for which services the load that each upstream handles well is learned from its times: "auto"
	// for those whose upstreams report a pace, "on" for all, "off" for none. The default changes nothing for upstreams
	// that report no pace.
	LearnedCapacity string `json:"learned_capacity"`
	// LogDebug enables log events of level debug.
	LogDebug bool `json:"log_debug"`
}

// DefaultGateway returns the default values of a gateway's settings.
func DefaultGateway() *Gateway {
	return &Gateway{
		ListenCallers: "127.0.0.1:8080", ListenReady: "127.0.0.1:8081", ListenPeers: "127.0.0.1:8082",
		Partitions: 12, RecordBytes: 256 << 10, AppendBytes: 2 << 20, MemoryMB: 256,
		CallerLimits: defaultCallerLimits(), StopMS: 8000, LocalTurns: Auto, Admission: Auto, LearnedCapacity: Auto,
	}
}

// PeerAddress returns the address under which other gateways reach this one.
func (g *Gateway) PeerAddress() string {
	if g.AdvertisePeers != "" {
		return g.AdvertisePeers
	}
	return g.ListenPeers
}

// checkRegions returns an error for each entry with an empty name, in the order of the data centres.
func checkRegions(regions map[string]string) []FieldError {
	var errs []FieldError
	for _, dc := range slices.Sorted(maps.Keys(regions)) {
		if dc == "" || regions[dc] == "" {
			errs = append(errs, FieldError{
				Field: "regions", Problem: fmt.Sprintf("entry %q: %q has an empty name", dc, regions[dc]),
			})
		}
	}
	return errs
}

// Validate returns every invalid field.
func (g *Gateway) Validate() []FieldError {
	errs := checkNotEmpty("vm", g.VM)
	errs = append(errs, checkNotEmpty("data_centre", g.DataCentre)...)
	errs = append(errs, checkRegions(g.Regions)...)
	errs = append(errs, checkAddress("listen_callers", g.ListenCallers)...)
	errs = append(errs, checkAddress("listen_ready", g.ListenReady)...)
	errs = append(errs, checkAddress("listen_peers", g.ListenPeers)...)
	if g.AdvertisePeers != "" {
		errs = append(errs, checkAddress("advertise_peers", g.AdvertisePeers)...)
	}
	for i, s := range g.Seeds {
		errs = append(errs, checkAddress(fmt.Sprintf("seeds[%d]", i), s)...)
	}
	if g.ListenOperators != "" {
		errs = append(errs, checkAddress("listen_operators", g.ListenOperators)...)
	}
	errs = append(errs, checkAddress("log_address", g.LogAddress)...)
	errs = append(errs, checkMin("partitions", g.Partitions, 1)...)
	errs = append(errs, checkMin("record_bytes", g.RecordBytes, 16<<10)...)
	errs = append(errs, checkMin("append_bytes", g.AppendBytes, g.RecordBytes)...)
	errs = append(errs, checkMin("memory_mb", g.MemoryMB, 32)...)
	errs = append(errs, g.validateCallerLimits()...)
	if g.MaxFDs != 0 {
		errs = append(errs, checkMin("max_fds", g.MaxFDs, 2*fileFDs)...)
	}
	errs = append(errs, checkMin("stop_ms", g.StopMS, 0)...)
	errs = append(errs, checkOneOf("local_turns", g.LocalTurns, Auto, On, Off)...)
	errs = append(errs, checkOneOf("admission", g.Admission, Auto, AdmitByLoad, AdmitByOutcome)...)
	errs = append(errs, checkOneOf("learned_capacity", g.LearnedCapacity, Auto, On, Off)...)
	if g.ListenCallers == g.ListenPeers {
		errs = append(errs, FieldError{
			Field:   "listen_peers",
			Problem: fmt.Sprintf("%q is already used by listen_callers", g.ListenPeers),
		})
	}
	return errs
}
