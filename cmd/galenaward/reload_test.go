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

// gatewaySettings returns settings of a gateway whose log service is unreachable.
func gatewaySettings(t *testing.T, addresses []string, memoryMB int) string {
	t.Helper()
	return fmt.Sprintf(`{"vm": "vm-1", "data_centre": "a", "listen_callers": %q, "listen_ready": %q, "listen_peers": %q,
  "log_address": "127.0.0.1:1", "seeds": ["127.0.0.1:2", %q], "memory_mb": %d}`,
		addresses[0], addresses[1], addresses[2], addresses[0], memoryMB)
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

// TestReloadOnSIGHUP checks that a gateway reloads its settings on SIGHUP and on a change of the file, refuses invalid
// settings and keeps running, and that SIGTERM ends it.
func TestReloadOnSIGHUP(t *testing.T) {
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
	awaitLine := func(substring string) {
		t.Helper()
		for timeout := time.After(10 * time.Second); ; {
			select {
			case l, ok := <-lines:
				if !ok {
					t.Fatalf("the process ended before it logged %s", substring)
				}
				if strings.Contains(l, substring) {
					return
				}
			case <-timeout:
				t.Fatalf("no log line with %s within 10 s", substring)
			}
		}
	}
	awaitLine(`"event":"start"`)
	time.Sleep(200 * time.Millisecond) // The reloader starts shortly after the first line.
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	awaitLine(`"event":"reload"`)
	write(gatewaySettings(t, addresses, 120))
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	awaitLine(`"changed":"memory_mb"`)
	write(gatewaySettings(t, addresses, 1))
	awaitLine(`"event":"reload_refused"`) // The file is polled; no signal is sent.
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	awaitLine(`"event":"stop"`)
	is.NoErr(g.Wait())
	is.NoErr(cmd.Wait())
}
