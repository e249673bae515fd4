package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// gatewaySettings returns settings whose log service does not exist.
func gatewaySettings(t *testing.T, addresses []string, memory int) string {
	t.Helper()
	return fmt.Sprintf(`{"vm": "vm-1", "data_centre": "a", "listen_callers": %q, "listen_ready": %q, "listen_peers": %q,
  "log_address": "127.0.0.1:1", "seeds": ["127.0.0.1:2", %q], "memory_mb": %d}`, addresses[0], addresses[1], addresses[2], addresses[0], memory)
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// TestHangupReloads sends SIGHUP with good and faulty settings to a gateway, which must go on, and ends it by SIGTERM.
func TestHangupReloads(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "gateway.jsonc")
	addresses := freeAddresses(t, 3)
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(gatewaySettings(t, addresses, 100))
	cmd := exec.Command("galenaward", "gateway", file)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := make(chan string, 1000)
	var g errgroup.Group
	g.Go(func() error {
		defer close(lines)
		for sc := bufio.NewScanner(out); sc.Scan(); {
			lines <- sc.Text()
		}
		return nil
	})
	await := func(part string) {
		t.Helper()
		for late := time.After(10 * time.Second); ; {
			select {
			case l, ok := <-lines:
				if !ok {
					t.Fatalf("the process ended before it logged %s", part)
				}
				if strings.Contains(l, part) {
					return
				}
			case <-late:
				t.Fatalf("no line with %s", part)
			}
		}
	}
	await(`"event":"start"`)
	time.Sleep(200 * time.Millisecond) // The handler is in place shortly after the first line.
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	await(`"event":"reload"`)
	write(gatewaySettings(t, addresses, 120))
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	await(`"changed":"memory_mb"`)
	write(gatewaySettings(t, addresses, 1))
	await(`"event":"reload_refused"`) // Without a signal.
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	await(`"event":"stop"`)
	is.NoErr(g.Wait())
	is.NoErr(cmd.Wait())
}
