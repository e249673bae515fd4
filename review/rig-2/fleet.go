package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a process of the system.
type Gateway struct {
	name, zone                string
	front, ready, peers, oper string
	storeAddr                 string
	file, log                 string
	first                     bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	expects bool // The process is being ended by us.
	done    chan struct{}
	stopped time.Time
}

// Fleet is a small deployment.
type Fleet struct {
	world    *World
	store    *Store
	dir      string
	binary   string
	gateways []*Gateway
	models   []*Worker
	apps     []*Worker
	version  int
	tenants  []tenant
	extra    string
	partN    int
}

type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst float64
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newFleet prepares gateways and starts the store and the workers.
func newFleet(w *World, binary string, gateways, models, apps int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{world: w, store: newStore(12), dir: dir, binary: binary, partN: 12}
	zones := []string{"luz-a", "luz-b", "luz-c", "luz-d"}
	for i := range 8 {
		f.tenants = append(f.tenants, tenant{
			name: fmt.Sprintf("tenant%d", i), keys: []string{fmt.Sprintf("key%d-a", i), fmt.Sprintf("key%d-b", i)},
			rate: 2000, burst: 2000,
		})
	}
	f.putConfig()
	for i := range models {
		k, err := startWorker(w, f.store, "assist-models", fmt.Sprintf("i-model%d", i), fmt.Sprintf("127.0.2.%d:0", i+1), zones[i%4], 16)
		if err != nil {
			return nil, err
		}
		f.models = append(f.models, k)
	}
	for i := range apps {
		k, err := startWorker(w, f.store, "order-app", fmt.Sprintf("i-app%d", i), fmt.Sprintf("127.0.3.%d:0", i+1), zones[i%4], 12)
		if err != nil {
			return nil, err
		}
		f.apps = append(f.apps, k)
	}
	for i := range gateways {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		g := &Gateway{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%4], first: true}
		for _, a := range []*string{&g.front, &g.ready, &g.peers, &g.oper} {
			if *a, err = freePort(ip); err != nil {
				return nil, err
			}
		}
		if g.storeAddr, err = f.store.listen(g.name, fmt.Sprintf("127.0.4.%d:0", i+1)); err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, g)
	}
	return f, nil
}

// putConfig writes the next version of the configuration.
func (f *Fleet) putConfig() {
	f.version += 3
	var ts []map[string]any
	for _, t := range f.tenants {
		ts = append(ts, map[string]any{"name": t.name, "apiKeys": t.keys, "priority": 1, "ratePerS": t.rate, "burst": t.burst})
	}
	route := func(name, prefix, kind string, timeout time.Duration, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(),
			"sloMs": 250, "priority": 1, "service": service, "maxAttempts": attempts, "anonymous": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	kept := map[string]any{"keepsHistory": true, "retentionS": 60.0, "sticky": true, "resumable": false, "gapTargetMs": 200}
	plain := map[string]any{"keepsHistory": false, "retentionS": 60.0, "sticky": true, "resumable": false, "gapTargetMs": 200}
	routes := []map[string]any{
		route("r-stock", "/stock/", "idempotent", 1500*time.Millisecond, "order-app", 2, nil),
		route("r-book", "/book/", "non_idempotent", 2500*time.Millisecond, "order-app", 1, nil),
	}
	if f.extra != "local" {
		routes = append(routes, route("r-chat", "/chat/", "streaming", 4*time.Second, "assist-models", 2, kept))
	}
	resumed := map[string]any{"keepsHistory": false, "retentionS": 60.0, "sticky": true, "resumable": true, "gapTargetMs": 200}
	routes = append(routes, route("r-assess", "/assess/", "streaming", 4*time.Second, "assist-models", 2, resumed))
	routes = append(routes, route("r-brief", "/brief/", "streaming", 4*time.Second, "assist-models", 2, plain))
	c := map[string]any{
		"version": f.version, "routes": routes, "tenants": ts,
		"services": []map[string]any{
			{"name": "assist-models", "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 16, "chunkTokens": chunkTokens}},
			{"name": "order-app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	b, _ := json.Marshal(c)
	f.store.put("keyed.op", "config", b)
}

func (f *Fleet) seeds(self *Gateway) []string {
	var out []string
	for _, g := range f.gateways[:min(3, len(f.gateways))] {
		out = append(out, g.peers)
	}
	return out
}

// start starts the gateway's process.
func (f *Fleet) start(g *Gateway) error {
	s := map[string]any{
		"vm": g.name, "data_centre": g.zone,
		"regions":        map[string]string{"luz-a": "luzon", "luz-b": "luzon", "luz-c": "luzon", "luz-d": "luzon"},
		"listen_callers": g.front, "listen_ready": g.ready, "listen_peers": g.peers, "seeds": f.seeds(g),
		"listen_operators": g.oper, "log_address": g.storeAddr, "partitions": f.partN, "record_bytes": 262144,
		"append_bytes": 2097152, "first_start": g.first, "memory_mb": 294, "max_fds": 8200, "stop_ms": 7000,
	}
	b, _ := json.MarshalIndent(s, "", "  ")
	g.file, g.log = filepath.Join(f.dir, g.name+".json"), filepath.Join(f.dir, g.name+".log")
	if err := os.WriteFile(g.file, b, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "gateway", g.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.expects, g.done, g.first = cmd, false, done, false
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		g.mu.Lock()
		expected := g.expects
		g.mu.Unlock()
		if !expected {
			f.world.breaks("CRASH", "%s ended by itself: %v; log %s", g.name, err, g.log)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal that does not end the process.
func (g *Gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// end ends the process with a signal and waits until it has ended.
func (g *Gateway) end(s syscall.Signal) {
	g.mu.Lock()
	if g.cmd == nil {
		g.mu.Unlock()
		return
	}
	g.expects = true
	done := g.done
	_ = g.cmd.Process.Signal(s)
	g.mu.Unlock()
	select {
	case <-done:
	case <-time.After(8 * time.Second):
		fmt.Println("HANG: still running 8 s after signal", s, g.name, g.log)
		_ = g.cmd.Process.Kill()
		<-done
	}
	g.mu.Lock()
	g.cmd = nil
	g.mu.Unlock()
}

// isReady asks the gateway as the platform does.
func (g *Gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready + "/galenaward/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func (f *Fleet) startAll() error {
	for _, g := range f.gateways {
		if err := f.start(g); err != nil {
			return err
		}
	}
	for until := time.Now().Add(15 * time.Second); ; {
		n := 0
		for _, g := range f.gateways {
			if g.isReady() {
				n++
			}
		}
		if n == len(f.gateways) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d gateways are ready", n, len(f.gateways))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// close ends all processes.
func (f *Fleet) close(keep bool) {
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT)
		g.end(syscall.SIGKILL)
	}
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}

// partition returns the partition of a program.
func (f *Fleet) partition(tenant, program string) int {
	return int(xxhash64([]byte(tenant+"/"+program)) % uint64(f.partN))
}

// holder returns the gateway that holds the partition according to the store; nil if none does.
func (f *Fleet) holder(p int) *Gateway {
	a, _, _ := strings.Cut(f.store.ownerOf(p), "/")
	for _, g := range f.gateways {
		if g.peers == a {
			return g
		}
	}
	return nil
}
