package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const config = `{"version":%d,"routes":[
{"name":"chat","host":"h.example","pathPrefix":"/chat/","routeType":"streaming","timeoutMs":4000,"sloMs":300,"priority":0,"service":"engines","maxAttempts":2,"keepsHistory":true,"retentionS":60.0,"anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":400},
{"name":"assess","host":"h.example","pathPrefix":"/assess/","routeType":"streaming","timeoutMs":4000,"sloMs":300,"priority":1,"service":"engines","maxAttempts":2,"keepsHistory":false,"retentionS":60.0,"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":400},
{"name":"status","host":"h.example","pathPrefix":"/status/","routeType":"idempotent","timeoutMs":1200,"sloMs":200,"priority":2,"service":"engines","maxAttempts":3,"keepsHistory":false,"retentionS":0,"anonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"engines","healthPath":"/healthz","maxConns":170,"engine":{"slots":12,"kvCapacity":378489,"chunkTokens":10}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kura","apiKeys":["key1"],"priority":1,"ratePerS":0,"burst":0},
{"name":"bazaar","apiKeys":["key2"],"priority":1,"ratePerS":40,"burst":40}]}`

// gateway is a gateway process.
type gateway struct {
	name, callers, ready, peers, file, log string
	cmd                                    *exec.Cmd
	// door is the gateway's way to the store, links are those to other gateways, and seeds their addresses. All are nil
	// without proxies.
	door   *door
	links  []*link
	seeds  []string
	exited chan struct{}
}

// fleet is a small deployment: gateways as processes, the store and the workers in this process.
type fleet struct {
	dir      string
	store    *store
	workers  []*worker
	gateways []*gateway
	record   *record
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

var usedPorts = map[int]bool{}

// freeAddress returns a loopback address below the ephemeral range, so that it stays free while its process is down.
func freeAddress() (string, error) {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		ln, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port")
}

func newFleet(dir string, gateways, workers int, linked bool) (*fleet, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{record: &record{file: file, began: time.Now()}}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	f.store.put("keyed.op", "config", fmt.Sprintf(config, 7))
	for i := range workers {
		w, err := newWorker(f.store, fmt.Sprintf("i-%d", i), "engines")
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	for i := range gateways {
		g := &gateway{name: fmt.Sprintf("edge-%d", i)}
		for _, a := range []*string{&g.callers, &g.ready, &g.peers} {
			if *a, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		g.file, g.log = filepath.Join(f.dir, g.name+".json"), filepath.Join(f.dir, g.name+".log")
		f.gateways = append(f.gateways, g)
	}
	if linked {
		if err := f.link(); err != nil {
			return nil, err
		}
	}
	for _, g := range f.gateways {
		if err := f.start(g, true); err != nil {
			return f, err
		}
	}
	if err := f.waitReady(15 * time.Second); err != nil {
		return f, err
	}
	return f, f.waitBalanced(10 * time.Second)
}

// link puts a proxy on each way between two gateways and between a gateway and the store.
func (f *fleet) link() (err error) {
	for _, g := range f.gateways {
		if g.door, err = newDoor(f.store); err != nil {
			return err
		}
		for _, o := range f.gateways {
			if o == g {
				continue
			}
			l, err := newLink(o.peers)
			if err != nil {
				return err
			}
			g.door.links[o.peers] = l.address
			g.seeds = append(g.seeds, l.address)
			g.links = append(g.links, l)
		}
	}
	return nil
}

// waitBalanced waits until every gateway has held its share of the partitions for two seconds.
func (f *fleet) waitBalanced(limit time.Duration) error {
	since := time.Now()
	for until := time.Now().Add(limit); time.Since(since) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
		count := map[string]int{}
		for i := range partitions {
			count[f.store.holderOf(i)]++
		}
		for _, g := range f.gateways {
			if count[g.peers] != partitions/len(f.gateways) {
				since = time.Now()
			}
		}
		if time.Now().After(until) {
			return errors.New("the partitions are not spread evenly")
		}
	}
	return nil
}

// start runs the command of the deploy file with the settings that its template gives.
func (f *fleet) start(g *gateway, first bool) error {
	seeds, address := g.seeds, f.store.address
	if g.door != nil {
		address = g.door.address
	} else {
		for _, o := range f.gateways {
			seeds = append(seeds, o.peers)
		}
	}
	b, _ := json.Marshal(map[string]any{
		"vm": g.name, "data_centre": "a", "listen_callers": g.callers, "listen_ready": g.ready, "listen_peers": g.peers,
		"seeds": seeds, "listen_operators": "", "log_address": address, "partitions": partitions,
		"record_bytes": recordBytes, "first_start": first, "memory_mb": 154, "max_connections": 4000, "stop_ms": 7000,
	})
	if err := os.WriteFile(g.file, b, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/galenaward", "gateway", g.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	g.cmd, g.exited = cmd, exited
	f.record.say("start %s pid %d callers %s", g.name, cmd.Process.Pid, g.callers)
	return nil
}

func (f *fleet) waitReady(limit time.Duration) error {
	for _, g := range f.gateways {
		for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + g.ready + "/galenaward/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
		}
	}
	f.record.say("all gateways are ready")
	return nil
}

func (f *fleet) kill(g *gateway) {
	_ = g.cmd.Process.Kill()
	<-g.exited
	f.record.say("SIGKILL %s", g.name)
}

// close ends all processes that this one started.
func (f *fleet) close() {
	for _, g := range f.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
	_ = f.record.file.Close()
}

// turn sends a turn and records it.
func (f *fleet) turn(g *gateway, t turn) result {
	r := send(g.callers, t)
	at := ""
	for _, x := range runsOf(f.workers, r.id) {
		at += " " + x.worker
	}
	f.record.say("%s %s program=%s previous=%s: %s run at:%s", g.name, t.route, t.program, t.previous, r, at)
	return r
}

// homeOf returns the gateway that holds the program's partition.
func (f *fleet) homeOf(program string) *gateway {
	a := f.store.holderOf(partitionOf("kura/" + program))
	for _, g := range f.gateways {
		if g.peers == a {
			return g
		}
	}
	return nil
}

// programs returns n programs whose home is the gateway.
func (f *fleet) programs(prefix string, g *gateway, n int) []string {
	var out []string
	for i := 0; len(out) < n && i < 10000; i++ {
		if p := fmt.Sprintf("%s%d", prefix, i); f.homeOf(p) == g {
			out = append(out, p)
		}
	}
	return out
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}
