// Package fakes contains the commands that serve stand-ins for the external systems that galenaward depends on.
package fakes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/stub/engine"
	"galenaward.example/galenaward/internal/stub/logsrv"
	"galenaward.example/galenaward/internal/stub/memlog"
	"galenaward.example/galenaward/internal/stub/shop"
	"galenaward.example/galenaward/internal/stub/vmlist"
	"galenaward.example/galenaward/internal/stub/weight"
)

// Root returns the command tree of the stand-ins: the platform's log, VM list and store of weights, a model engine and
// a service.
func Root() *parse.Command {
	return &parse.Command{
		Name: "standin", Help: "stand-ins of the systems around galenaward",
		Subcommands: []*parse.Command{logCommand(), vmsCommand(), engineCommand(), serviceCommand(), weightsCommand()},
	}
}

// listener holds the listen address, a flag of every stand-in.
type listener struct{ address string }

func (l *listener) flags(sc *flaggy.Subcommand) {
	l.address = "127.0.0.1:0"
	sc.String(&l.address, "l", "listen", "IP address and port")
}

// serve handles requests until the process receives a signal to stop.
func (l *listener) serve(ctx context.Context, out io.Writer, h http.Handler) error {
	graceful, _, release := serve.ShutdownContexts(ctx)
	defer release()
	g := group.New(graceful)
	s, err := serve.Start(g, l.address, h, serve.Options{})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "listening on %s\n", s.Addr())
	return g.Wait()
}

func logCommand() *parse.Command {
	l := &listener{}
	return &parse.Command{
		Name: "log", Help: "the platform's append-only log", Flags: l.flags,
		Run: func(ctx context.Context, out io.Writer) error { return l.serve(ctx, out, logsrv.Handler(memlog.New())) },
	}
}

func vmsCommand() *parse.Command {
	l, lag := &listener{}, time.Duration(0)
	return &parse.Command{
		Name: "vms", Help: "the platform's list of VMs; set it with PUT",
		Flags: func(sc *flaggy.Subcommand) {
			l.flags(sc)
			sc.Duration(&lag, "g", "lag", "time until a change shows")
		},
		Run: func(ctx context.Context, out io.Writer) error { return l.serve(ctx, out, vmlist.New(lag)) },
	}
}

func engineCommand() *parse.Command {
	l, o, model := &listener{}, engine.Options{}, "fake-1"
	return &parse.Command{
		Name: "engine", Help: "a model engine",
		Flags: func(sc *flaggy.Subcommand) {
			l.flags(sc)
			sc.String(&model, "m", "model", "model that it serves")
			sc.Duration(&o.TokenDelay, "t", "token-delay", "time between two tokens")
			sc.Duration(&o.PrefillDelay, "p", "prefill-delay", "time per prompt token that is not cached")
			sc.String(&o.CrashPrompt, "c", "crash-on", "text in a prompt that kills the process")
			sc.String(&o.WeightsURL, "w", "weights", "URL of the store of weights")
			sc.Bool(&o.ChecksFencing, "f", "checks-fencing", "refuse orders with an old fencing number")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			o.Models = []string{model}
			o.OnCrash = func() { os.Exit(1) }
			return l.serve(ctx, out, engine.New(o))
		},
	}
}

func weightsCommand() *parse.Command {
	l, bytesPerModel, bytesPerSecond := &listener{}, 1<<20, 1<<20
	return &parse.Command{
		Name: "weights", Help: "the platform's rate-limited store of weights",
		Flags: func(sc *flaggy.Subcommand) {
			l.flags(sc)
			sc.Int(&bytesPerModel, "b", "bytes", "size of each model's weights")
			sc.Int(&bytesPerSecond, "r", "rate", "bytes a second for all readers together")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			return l.serve(ctx, out, weight.New(bytesPerModel, bytesPerSecond))
		},
	}
}

func serviceCommand() *parse.Command {
	l, delay := &listener{}, time.Duration(0)
	return &parse.Command{
		Name: "service", Help: "a plain service that counts its orders",
		Flags: func(sc *flaggy.Subcommand) {
			l.flags(sc)
			sc.Duration(&delay, "d", "delay", "time that an order takes")
		},
		Run: func(ctx context.Context, out io.Writer) error { return l.serve(ctx, out, shop.New(delay)) },
	}
}
