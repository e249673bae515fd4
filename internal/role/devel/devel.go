// Package devel runs a small but complete deployment in one process, connected over loopback: stand-ins for the
// platform, entries, sidecars, fake engines and a fake service.
package devel

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/role/entry"
	"galenaward.example/galenaward/internal/role/peers"
	"galenaward.example/galenaward/internal/role/sidec"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/stub/engine"
	"galenaward.example/galenaward/internal/stub/logsrv"
	"galenaward.example/galenaward/internal/stub/memlog"
	"galenaward.example/galenaward/internal/stub/shop"
	"galenaward.example/galenaward/internal/stub/vmlist"
)

// Names of the model and the service that a deployment offers.
const (
	Model   = "fake-1"
	Service = "orders"
)

// Options configure a deployment. A count of zero means one, and a delay of zero none.
type Options struct {
	Entries, Engines, Services int
	// DataCentres are the names of the data centres, to which VMs are assigned in turn.
	DataCentres []string
	// CallersAddress is the listen address of the first entry for callers; a free port if empty.
	CallersAddress string
	OperatorSecret string
	Engine         engine.Options
	ServiceDelay   time.Duration
	// Entry and Sidecar, if set, modify the configuration of each process before it starts.
	Entry   func(i int, c *config.Entry)
	Sidecar func(i int, c *config.Sidecar)
	Logger  log.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	Log      *memlog.Log
	VMs      *vmlist.List
	Entries  []*entry.Entry
	Sidecars []*sidec.Sidecar
	Engines  []*engine.Engine
	Services []*shop.Service

	opts      Options
	group     *group.Group
	logURL    string
	vms       []peers.VM
	processes map[string]*process
	// engineURLs are the URLs of Engines, in the same order.
	engineURLs []string
}

// anyPort is a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// process is one entry or sidecar. It reaches the log and the list of VMs at addresses of its own, so that faults
// of either can be simulated for it alone.
type process struct {
	group *group.Group
	// kill ends the process immediately, like a crash.
	kill context.CancelFunc
	// logCut makes the log unreachable for this process alone.
	logCut atomic.Bool
	// listCut makes the list of VMs empty for this process alone.
	listCut atomic.Bool
	// start starts the process, or a new one with the same configuration after a kill.
	start func() error
	// freePorts makes the next start listen on any free port.
	freePorts func()
	// sidecar is the configuration of a sidecar, nil for an entry. Changes take effect at the next start.
	sidecar         *config.Sidecar
	logURL, listURL string
}

// Start starts a deployment whose processes run in the group.
func Start(g *group.Group, o Options) (*Deployment, error) {
	d := &Deployment{Log: memlog.New(), VMs: vmlist.New(0), opts: o, group: g, processes: make(map[string]*process)}
	if d.opts.Logger == nil {
		d.opts.Logger = log.NewNopLogger()
	}
	if len(d.opts.DataCentres) == 0 {
		d.opts.DataCentres = []string{"auckland"}
	}
	if err := d.startPlatform(); err != nil {
		return nil, err
	}
	for i := range max(1, o.Entries) {
		if err := d.startEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range max(1, o.Engines) {
		if err := d.startEngine(i); err != nil {
			return nil, err
		}
	}
	for i := range max(1, o.Services) {
		if err := d.startService(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) serve(h http.Handler) (string, error) {
	s, err := serve.Start(d.group, anyPort, h, serve.Options{})
	if err != nil {
		return "", err
	}
	return "http://" + s.Addr(), nil
}

func (d *Deployment) startPlatform() error {
	var err error
	d.logURL, err = d.serve(logsrv.Handler(d.Log))
	return err
}

func (d *Deployment) dataCentre(i int) string { return d.opts.DataCentres[i%len(d.opts.DataCentres)] }

// newProcess registers a process and serves the log and the list of VMs to it at addresses of its own.
func (d *Deployment) newProcess(vm string) (*process, error) {
	p := &process{}
	d.processes[vm] = p
	var err error
	if p.logURL, err = d.serve(withOutage(&p.logCut, logsrv.Handler(d.Log))); err != nil {
		return nil, err
	}
	p.listURL, err = d.serve(withOutage(&p.listCut, d.VMs))
	return p, err
}

// withOutage drops connections while cut is set. The list of VMs is not dropped but answers as empty.
func withOutage(cut *atomic.Bool, h http.Handler) http.Handler {
	empty := vmlist.New(0)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !cut.Load():
			h.ServeHTTP(w, r)
		case r.URL.Path == "/":
			empty.ServeHTTP(w, r)
		default:
			panic(http.ErrAbortHandler)
		}
	})
}

// configure sets what entries and sidecars have in common, with short intervals.
func (d *Deployment) configure(c *config.Common, vm string, p *process, i int) {
	c.VM, c.DataCentre = vm, d.dataCentre(i)
	c.LogURL, c.VMListURL = p.logURL, p.listURL+"/"
	c.VMListEveryMS = 100
	c.ReportEveryMS = 100
}

func (d *Deployment) startEntry(i int) error {
	c := config.DefaultEntry()
	vm := fmt.Sprintf("entry-%d", i)
	p, err := d.newProcess(vm)
	if err != nil {
		return err
	}
	d.configure(&c.Common, vm, p, i)
	c.Slot, c.Slots = int64(i), int64(max(1, d.opts.Entries))
	c.ListenCallers = anyPort
	if i == 0 && d.opts.CallersAddress != "" {
		c.ListenCallers = d.opts.CallersAddress
	}
	c.OperatorKeyDigests = []string{conf.SecretDigest(d.opts.OperatorSecret)}
	c.UnreadyMS = 50
	if d.opts.Entry != nil {
		d.opts.Entry(i, c)
	}
	p.freePorts = func() { c.ListenCallers, c.ListenPeers = anyPort, anyPort }
	d.Entries = append(d.Entries, nil)
	p.start = func() error {
		p.group, p.kill = d.newGroup()
		e, err := entry.Start(p.group, c, log.With(d.opts.Logger, "process", vm))
		if err != nil {
			return err
		}
		c.ListenCallers, c.ListenPeers = e.CallersAddr, e.PeersAddr()
		d.Entries[i] = e
		d.publish(peers.VM{Name: vm, Role: peers.RoleEntry, DataCentre: c.DataCentre, Address: e.PeersAddr()})
		return nil
	}
	return p.start()
}

func (d *Deployment) newGroup() (*group.Group, context.CancelFunc) {
	ctx, cancel := context.WithCancel(d.group.Context())
	return group.New(ctx), cancel
}

// publish adds the VM to the platform's list, or replaces its entry there.
func (d *Deployment) publish(v peers.VM) {
	d.vms = slices.DeleteFunc(slices.Clone(d.vms), func(o peers.VM) bool { return o.Name == v.Name })
	d.vms = append(d.vms, v)
	d.VMs.Set(d.vms)
}

// Kill ends the process on the VM immediately, like a crash.
func (d *Deployment) Kill(vm string) {
	p := d.processes[vm]
	p.kill()
	_ = p.group.Wait()
}

// Restart starts a new process with the same configuration on the VM. It listens on the same address, or on a free port
// if the address is in use by something else.
func (d *Deployment) Restart(vm string) error {
	p := d.processes[vm]
	err := p.start()
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	d.Kill(vm)
	p.freePorts()
	return p.start()
}

// Isolate simulates a network partition between the VM and its peers: it removes the VM from the platform's list and
// makes the list empty for the VM. The process keeps running and its callers still reach it.
func (d *Deployment) Isolate(vm string) {
	d.vms = slices.DeleteFunc(slices.Clone(d.vms), func(o peers.VM) bool { return o.Name == vm })
	d.VMs.Set(d.vms)
	d.processes[vm].listCut.Store(true)
}

// CutLog makes the log unreachable, or reachable again, for the process on the VM alone.
func (d *Deployment) CutLog(vm string, cut bool) { d.processes[vm].logCut.Store(cut) }

func (d *Deployment) startEngine(i int) error {
	o := d.opts.Engine
	o.Models = []string{Model}
	e := engine.New(o)
	url, err := d.serve(e)
	if err != nil {
		return err
	}
	d.Engines = append(d.Engines, e)
	d.engineURLs = append(d.engineURLs, url)
	c := config.DefaultSidecar()
	c.Models = []string{Model}
	return d.startSidecar(i, fmt.Sprintf("engine-%d", i), url, c)
}

func (d *Deployment) startService(i int) error {
	s := shop.New(d.opts.ServiceDelay)
	url, err := d.serve(s)
	if err != nil {
		return err
	}
	d.Services = append(d.Services, s)
	c := config.DefaultSidecar()
	c.Service = Service
	return d.startSidecar(i, fmt.Sprintf("service-%d", i), url, c)
}

func (d *Deployment) startSidecar(i int, vm, url string, c *config.Sidecar) error {
	p, err := d.newProcess(vm)
	if err != nil {
		return err
	}
	d.configure(&c.Common, vm, p, i)
	c.UpstreamURL = url
	c.AppendEveryMS = 5
	if d.opts.Sidecar != nil {
		d.opts.Sidecar(i, c)
	}
	p.sidecar = c
	p.freePorts = func() { c.ListenPeers = anyPort }
	at := len(d.Sidecars)
	d.Sidecars = append(d.Sidecars, nil)
	p.start = func() error {
		p.group, p.kill = d.newGroup()
		s, err := sidec.Start(p.group, c, log.With(d.opts.Logger, "process", vm))
		if err != nil {
			return err
		}
		c.ListenPeers = s.PeersAddr
		d.Sidecars[at] = s
		d.publish(peers.VM{Name: vm, Role: peers.RoleSidecar, DataCentre: c.DataCentre, Address: s.PeersAddr})
		return nil
	}
	return p.start()
}

// Reconfigure restarts the sidecar on the VM with a changed configuration.
func (d *Deployment) Reconfigure(vm string, change func(*config.Sidecar)) error {
	change(d.processes[vm].sidecar)
	d.Kill(vm)
	return d.Restart(vm)
}

// LogAddr returns the address at which the process on the VM reaches the log.
func (d *Deployment) LogAddr(vm string) string {
	return strings.TrimPrefix(d.processes[vm].logURL, "http://")
}

// EngineAddr returns the address of the engine.
func (d *Deployment) EngineAddr(i int) string { return strings.TrimPrefix(d.engineURLs[i], "http://") }

// SetLeaving marks the VM as leaving on the platform's list.
func (d *Deployment) SetLeaving(vm string) {
	for _, v := range d.vms {
		if v.Name == vm {
			v.Leaving = true
			d.publish(v)
			return
		}
	}
}

// URL returns the URL of the entry for callers.
func (d *Deployment) URL(i int) string { return "http://" + d.Entries[i].CallersAddr }

// LogURL returns the URL of the log stand-in.
func (d *Deployment) LogURL() string { return d.logURL }

// WaitReady returns when every entry knows every sidecar and holds its slot, or ctx ends.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, e := range d.Entries {
		for e.KnownSidecars() < len(d.Sidecars) || !e.HoldsSlot() {
			select {
			case <-ctx.Done():
				return errors.Newf("entry %s is not ready: it knows %d of %d sidecars or does not hold its slot",
					e.Instance, e.KnownSidecars(), len(d.Sidecars))
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}
