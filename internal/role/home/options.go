package home

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/tries"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
)

// StandbyClient stores records that are not in the log yet at another sidecar, the standby.
type StandbyClient interface {
	Hold(ctx context.Context, standby, root string, epoch int64, records []prog.Record) error
	// Flush makes the standby append the records that it holds for the tree to the log.
	Flush(ctx context.Context, standby, root string) error
}

// Options configure a Home.
type Options struct {
	// VM is the name of the machine; Instance identifies this start of the process.
	VM, Instance string
	Log          plog.Log
	Dispatcher   *tries.Dispatcher
	Standbys     StandbyClient
	Store        *conf.Store
	Metrics      *telem.Metrics
	Tracer       *telem.Tracer
	Logger       log.Logger
	Group        *group.Group
	// MinAppendInterval is the minimum time between two appends.
	MinAppendInterval time.Duration
	// LogTimeout is how long a call waits for the log before its record is sent to the standby.
	LogTimeout time.Duration
	// BudgetChunk is the number of tokens of a program's budget that are granted at once.
	BudgetChunk int64
	// MaxCheckpointAge is the age of a tree's last checkpoint at which a new one is written.
	MaxCheckpointAge time.Duration
	// OnProgramEnd is called for each program that ends at this home. It runs in the control loop and must not block.
	OnProgramEnd func(program string)
}
