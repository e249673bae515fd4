package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Common holds the settings of every long-running role.
type Common struct {
	// VM is the name of the VM, unique among live VMs.
	VM string `json:"vm"`
	// DataCentre is the name of the VM's data centre.
	DataCentre string `json:"data_centre"`
	// ListenPeers is the IP address and port for connections from other galenaward processes.
	ListenPeers string `json:"listen_peers"`
	// AdvertisePeers is the address announced to other processes; ListenPeers if empty.
	AdvertisePeers string `json:"advertise_peers"`
	// ListenOperators is the IP address and port for metrics and readiness.
	ListenOperators string `json:"listen_operators"`
	// LogURL is the base URL of the platform's log service.
	LogURL string `json:"log_url"`
	// VMListURL is the URL of the platform's list of VMs.
	VMListURL string `json:"vm_list_url"`
	// VMListEveryMS is the interval at which the VM list is read.
	VMListEveryMS int64 `json:"vm_list_every_ms"`
	// ReportEveryMS is the interval of a sidecar's load reports, which also serve as heartbeats.
	ReportEveryMS int64 `json:"report_every_ms"`
	// SilenceMS is how long a stream may carry nothing, not even a heartbeat, before its connection is replaced.
	SilenceMS int64 `json:"silence_ms"`
	// DrainMS bounds a graceful stop.
	DrainMS int64 `json:"drain_ms"`
	// LogTimeoutMS bounds one request to the log.
	LogTimeoutMS int64 `json:"log_timeout_ms"`
	// SnapshotEveryRecords is the number of settings records after which a new snapshot is appended.
	SnapshotEveryRecords int64 `json:"snapshot_every_records"`
	// SnapshotAgeMS is the age of the newest snapshot at which a new one is appended. It must be far below the log's
	// retention time.
	SnapshotAgeMS int64 `json:"snapshot_age_ms"`
	// TraceOTLPURL is the OTLP/HTTP endpoint for spans; empty for none.
	TraceOTLPURL string `json:"trace_otlp_url"`
	// TraceLines writes spans as JSON lines to standard output if TraceOTLPURL is empty.
	TraceLines bool `json:"trace_lines"`
	// LogDebug enables log events of level debug.
	LogDebug bool `json:"log_debug"`
}

func defaultCommon() Common {
	return Common{
		ListenPeers: "127.0.0.1:0", ListenOperators: "127.0.0.1:0",
		VMListEveryMS: 1000, ReportEveryMS: 500, SilenceMS: 3000, DrainMS: 30_000, LogTimeoutMS: 2000,
		SnapshotEveryRecords: 500, SnapshotAgeMS: 3_600_000,
	}
}

// Millis converts a settings field in milliseconds to a duration.
func Millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *Common) validateCommon() []FieldError {
	var errs []FieldError
	errs = append(errs, checkNotEmpty("vm", c.VM)...)
	errs = append(errs, checkNotEmpty("data_centre", c.DataCentre)...)
	errs = append(errs, checkAddress("listen_peers", c.ListenPeers)...)
	errs = append(errs, checkAddress("listen_operators", c.ListenOperators)...)
	errs = append(errs, checkURL("log_url", c.LogURL)...)
	errs = append(errs, checkURL("vm_list_url", c.VMListURL)...)
	if c.AdvertisePeers != "" {
		errs = append(errs, checkAddress("advertise_peers", c.AdvertisePeers)...)
	}
	if c.TraceOTLPURL != "" {
		errs = append(errs, checkURL("trace_otlp_url", c.TraceOTLPURL)...)
	}
	errs = append(errs, checkMin("vm_list_every_ms", c.VMListEveryMS, 10)...)
	errs = append(errs, checkMin("report_every_ms", c.ReportEveryMS, 10)...)
	errs = append(errs, checkMin("silence_ms", c.SilenceMS, 50)...)
	errs = append(errs, checkMin("drain_ms", c.DrainMS, 0)...)
	errs = append(errs, checkMin("log_timeout_ms", c.LogTimeoutMS, 10)...)
	errs = append(errs, checkMin("snapshot_every_records", c.SnapshotEveryRecords, 1)...)
	return append(errs, checkMin("snapshot_age_ms", c.SnapshotAgeMS, 100)...)
}

func checkNotEmpty(field, v string) []FieldError {
	if v == "" {
		return []FieldError{{Field: field, Problem: "must not be empty"}}
	}
	return nil
}

func checkAddress(field, v string) []FieldError {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return []FieldError{{
			Field:   field,
			Problem: fmt.Sprintf("%q is not an IP address and port, such as 127.0.0.1:8080", v),
		}}
	}
	return nil
}

func checkURL(field, v string) []FieldError {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return []FieldError{{Field: field, Problem: fmt.Sprintf("%q is not an http or https URL", v)}}
	}
	return nil
}

func checkMin(field string, v, minimum int64) []FieldError {
	if v < minimum {
		return []FieldError{{Field: field, Problem: fmt.Sprintf("%d is below the least value %d", v, minimum)}}
	}
	return nil
}

func checkOneOf(field, v string, allowed ...string) []FieldError {
	if !slices.Contains(allowed, v) {
		return []FieldError{{Field: field, Problem: fmt.Sprintf("%q is not one of %s", v, strings.Join(allowed, ", "))}}
	}
	return nil
}
