// Package telem provides the logs, traces and metrics of a process.
package telem

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes one JSON object per line with time, level, role and VM.
func NewLogger(w io.Writer, role, vm string, debug bool) log.Logger {
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = log.With(l, "time", log.DefaultTimestampUTC, "role", role, "vm", vm)
	if debug {
		return level.NewFilter(l, level.AllowDebug())
	}
	return level.NewFilter(l, level.AllowInfo())
}

// Info logs an event with key-value pairs.
func Info(l log.Logger, event string, kv ...any) {
	_ = level.Info(l).Log(append([]any{"event", event}, kv...)...)
}

// Warn logs an event that may require an operator's action.
func Warn(l log.Logger, event string, kv ...any) {
	_ = level.Warn(l).Log(append([]any{"event", event}, kv...)...)
}

// Debug logs an event that helps to trace a single request.
func Debug(l log.Logger, event string, kv ...any) {
	_ = level.Debug(l).Log(append([]any{"event", event}, kv...)...)
}
