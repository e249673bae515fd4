package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/plat/telem"
)

// reloadEvery is the time between two looks at the settings file, which may change without a signal.
const reloadEvery = 2 * time.Second

// reloader puts changes of the settings file in force while the process runs.
type reloader struct {
	file string
	lg   log.Logger
	// hangup brings signals that the file may have changed.
	hangup <-chan os.Signal
	// apply puts new settings in force.
	apply func(*config.Gateway)

	raw []byte
	cur config.Gateway
}

// live are the fields that need no restart.
var live = []string{"memory_mb", "log_address"}

// hangups returns a channel of hangup signals, which do not end the process any more.
func hangups() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// run watches for signals and changes until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.hangup:
			r.look("signal")
		case <-tick.C:
			r.look("file")
		case <-ctx.Done():
			return nil
		}
	}
}

// look reads the file and applies what changed. Faulty settings change nothing.
func (r *reloader) look(reason string) {
	raw, err := os.ReadFile(r.file)
	if err != nil {
		telem.Warn(r.lg, "reload_failed", "reason", reason, "file", r.file, "cause", err)
		return
	}
	if bytes.Equal(raw, r.raw) {
		if reason == "signal" {
			telem.Info(r.lg, "reload", "reason", reason, "changed", "")
		}
		return
	}
	r.raw = raw
	next := config.DefaultGateway()
	if faults := config.Parse(raw, next); len(faults) > 0 {
		for _, f := range faults {
			telem.Warn(r.lg, "reload_refused", "reason", reason, "file", r.file, "fault", f.String())
		}
		return
	}
	changed := changedFields(r.cur, *next)
	r.cur = *next
	r.apply(next)
	telem.Info(r.lg, "reload", "reason", reason, "changed", strings.Join(changed, ","), "in_force", strings.Join(live, ","))
}

// changedFields returns the names of the fields that differ.
func changedFields(a, b config.Gateway) []string {
	var out []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			out = append(out, va.Type().Field(i).Tag.Get("json"))
		}
	}
	return out
}
