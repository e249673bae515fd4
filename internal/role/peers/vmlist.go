// Package peers finds and contacts the other processes of a deployment: it reads the platform's list of VMs, creates
// control clients, and exchanges settings between processes.
package peers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/telem"
)

// Role is the galenaward process that a VM runs.
type Role string

// The roles in the VM list.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string `json:"vm"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Address is the IP address and port for peers.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// VMList polls the platform's list of VMs, which may be out of date. While the list is unavailable, its last known
// state is used.
type VMList struct {
	url      string
	interval time.Duration
	client   *http.Client
	logger   log.Logger
	vms      atomic.Pointer[[]VM]
}

// NewVMList returns a list that polls the URL at the interval once Run is called.
func NewVMList(url string, interval time.Duration, client *http.Client, logger log.Logger) *VMList {
	l := &VMList{url: url, interval: interval, client: client, logger: logger}
	l.vms.Store(&[]VM{})
	return l
}

// All returns the VMs that have the role.
func (l *VMList) All(role Role) []VM {
	var out []VM
	for _, v := range *l.vms.Load() {
		if v.Role == role {
			out = append(out, v)
		}
	}
	return out
}

// Leaving reports whether the VM is marked as leaving in the list.
func (l *VMList) Leaving(vm string) bool {
	for _, v := range *l.vms.Load() {
		if v.Name == vm && v.Leaving {
			return true
		}
	}
	return false
}

// Run polls the list until ctx ends.
func (l *VMList) Run(ctx context.Context) error {
	for {
		if err := l.read(ctx); err != nil && ctx.Err() == nil {
			telem.Debug(l.logger, "vm_list_unreadable", "err", err)
		}
		select {
		case <-time.After(l.interval):
		case <-ctx.Done():
			return nil
		}
	}
}

// maxListBytes bounds the list; an entry takes some 200 bytes.
const maxListBytes = 16 << 20

func (l *VMList) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.interval+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("VM list answered with status %d", resp.StatusCode)
	}
	var body struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&body); err != nil {
		return errors.Wrap(err, "decode VM list")
	}
	vms := make([]VM, 0, len(body.VMs))
	for i, raw := range body.VMs {
		v, err := decodeVM(raw)
		if err != nil {
			telem.Debug(l.logger, "vm_list_entry_skipped", "entry", i, "err", err)
			continue
		}
		vms = append(vms, v)
	}
	l.vms.Store(&vms)
	return nil
}

// decodeVM decodes one entry of the list.
func decodeVM(raw json.RawMessage) (VM, error) {
	var v VM
	if err := json.Unmarshal(raw, &v); err != nil {
		return VM{}, err
	}
	if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 {
		return VM{}, errors.Newf("VM %.60q: address %.60q, want an IP address and a port from 1 to 65535", v.Name, v.Address)
	}
	return v, nil
}
