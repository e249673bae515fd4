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

// pollInterval is the time between two checks of the settings file, which may change without a signal.
const pollInterval = 2 * time.Second

// reloader applies changes of the settings file while the process runs.
type reloader struct {
	path   string
	logger log.Logger
	// sighup receives a signal when the file may have changed.
	sighup <-chan os.Signal
	apply  func(*config.Gateway)

	// content is the file as last read, settings what was last applied from it.
	content  []byte
	settings config.Gateway
}

// reloadableFields are the fields whose changes take effect without a restart.
var reloadableFields = []string{"memory_mb", "log_address"}

// notifySIGHUP returns a channel that receives SIGHUP, which no longer ends the process.
func notifySIGHUP() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// watch reloads the settings on a signal or a change of the file until ctx ends.
func (r *reloader) watch(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.sighup:
			r.reloadIfChanged("signal")
		case <-tick.C:
			r.reloadIfChanged("file")
		case <-ctx.Done():
			return nil
		}
	}
}

// reloadIfChanged reads the file and applies it if its content differs. Invalid settings are logged and not applied.
func (r *reloader) reloadIfChanged(reason string) {
	content, err := os.ReadFile(r.path)
	if err != nil {
		telem.Warn(r.logger, "reload_failed", "reason", reason, "file", r.path, "cause", err)
		return
	}
	if bytes.Equal(content, r.content) {
		if reason == "signal" {
			telem.Info(r.logger, "reload", "reason", reason, "changed", "")
		}
		return
	}
	r.content = content
	next := config.DefaultGateway()
	if faults := config.Parse(content, next); len(faults) > 0 {
		for _, f := range faults {
			telem.Warn(r.logger, "reload_refused", "reason", reason, "file", r.path, "fault", f.String())
		}
		return
	}
	changed := changedFields(r.settings, *next)
	r.settings = *next
	r.apply(next)
	telem.Info(r.logger, "reload", "reason", reason, "changed", strings.Join(changed, ","),
		"in_force", strings.Join(reloadableFields, ","))
}

// changedFields returns the JSON names of the fields that differ.
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
