// Package opcmd contains the commands for operators and callers. Those that talk to a server use its public API.
package opcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

const (
	envServer     = "GALENAWARD_SERVER"
	envKey        = "GALENAWARD_KEY"
	defaultServer = "http://127.0.0.1:8080"
)

// clientFlags holds the flags of commands that send requests to an entry.
type clientFlags struct {
	server, key string
	json        bool
}

func (f *clientFlags) flags(sc *flaggy.Subcommand) {
	sc.String(&f.server, "s", "server", "URL of an entry; else $"+envServer+", else "+defaultServer)
	sc.String(&f.key, "k", "key", "key to present; else $"+envKey)
	sc.Bool(&f.json, "j", "json", "print the answer as JSON")
}

func (f *clientFlags) url() string {
	switch {
	case f.server != "":
		return f.server
	case os.Getenv(envServer) != "":
		return os.Getenv(envServer)
	}
	return defaultServer
}

func (f *clientFlags) apiKey() (string, error) {
	if f.key != "" {
		return f.key, nil
	}
	if k := os.Getenv(envKey); k != "" {
		return k, nil
	}
	return "", errors.Mark(errors.Newf("no key: give --key or set $%s", envKey), parse.ErrUsage)
}

// keySource authenticates every request with one key.
type keySource struct{ key string }

// Bearer implements oasgen.SecuritySource.
func (k keySource) Bearer(context.Context, oasgen.OperationName) (oasgen.Bearer, error) {
	return oasgen.Bearer{Token: k.key}, nil
}

func (f *clientFlags) client() (*oasgen.Client, error) {
	key, err := f.apiKey()
	if err != nil {
		return nil, err
	}
	c, err := oasgen.NewClient(f.url(), keySource{key}, oasgen.WithClient(serve.NewClient()))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "server %q", f.url()), parse.ErrUsage)
	}
	return c, nil
}

// print writes the response as JSON if the flags ask for it, and through printText otherwise.
func (f *clientFlags) print(out io.Writer, v json.Marshaler, printText func(io.Writer)) error {
	if !f.json {
		printText(out)
		return nil
	}
	b, err := v.MarshalJSON()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", b)
	return err
}

// describeError formats an error of the API client for display. Errors without a response are marked ErrUnreachable.
func (f *clientFlags) describeError(err error) error {
	var failure *oasgen.FailureStatusCodeWithHeaders
	if errors.As(err, &failure) {
		e := failure.Response.Error
		text := fmt.Sprintf("%s: %s (step %s, at %s, outcome %s, request %s)",
			e.Code, e.Message, e.Step, e.Peer, e.Outcome, e.RequestID)
		if ms, ok := e.RetryAfterMs.Get(); ok {
			text += fmt.Sprintf("; try again in %d ms", ms)
		}
		return errors.New(text)
	}
	return errors.Mark(errors.Wrapf(err, "server %s", f.url()), parse.ErrUnreachable)
}

// callServer sends one request with call and prints the response.
func callServer[T json.Marshaler](
	ctx context.Context, f *clientFlags, out io.Writer,
	call func(context.Context, *oasgen.Client) (T, error), printText func(io.Writer, T),
) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	v, err := call(ctx, c)
	if err != nil {
		return f.describeError(err)
	}
	return f.print(out, v, func(w io.Writer) { printText(w, v) })
}
