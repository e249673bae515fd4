// Package parse builds a command line from a tree of commands.
//
//	code := parse.Run(ctx, root, os.Args[1:])
package parse

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Exit codes of every command.
const (
	ExitOK = 0
	// ExitFailed means that the command was understood and failed.
	ExitFailed = 1
	// ExitUsage means that the arguments were wrong.
	ExitUsage = 2
	// ExitUnreachable means that no process answered.
	ExitUnreachable = 3
)

// ErrUsage marks errors of the arguments.
var ErrUsage = errors.New("wrong arguments")

// ErrUnreachable marks errors of a server that did not answer.
var ErrUnreachable = errors.New("no answer")

// Argument is a positional argument.
type Argument struct {
	Name, Help string
	Value      *string
	Optional   bool
}

// Rest takes all positional arguments behind the named ones.
type Rest struct {
	Name, Help string
	Values     *[]string
}

// Command is one command, or a group of commands if Run is nil.
type Command struct {
	Name, Help string
	Arguments  []Argument
	// Rest takes further arguments; nil if there are none.
	Rest *Rest
	// Flags adds the command's flags; nil for none.
	Flags func(*flaggy.Subcommand)
	Run   func(ctx context.Context, out io.Writer) error
	Below []*Command
}

// Run parses the arguments, runs the command that they name and returns the exit code.
func Run(ctx context.Context, root *Command, args []string) int {
	p := flaggy.NewParser(root.Name)
	p.Description = root.Help
	p.ShowCompletion = false
	p.ShowHelpOnUnexpected = true
	p.ShowVersionWithVersionFlag = false
	if len(args) == 1 && args[0] == "--version" {
		args = []string{"version"}
	}
	if err := checkNames(root, args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", root.Name, err)
		return ExitUsage
	}
	args = takeRest(root, args)
	used := make(map[*flaggy.Subcommand]*Command)
	for _, c := range root.Below {
		attach(&p.Subcommand, c, used)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", root.Name, err)
		return ExitUsage
	}
	chosen := find(&p.Subcommand, used)
	if chosen == nil || chosen.Run == nil {
		p.ShowHelpWithMessage("a command is missing")
		return ExitUsage
	}
	if err := chosen.Run(ctx, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "%s %s: %s\n", root.Name, chosen.Name, err)
		return exitCode(err)
	}
	return ExitOK
}

// checkNames returns an error that names the first argument in the place of a command that is none. The parser
// itself would not name it.
func checkNames(root *Command, args []string) error {
	at := root
	for _, a := range args {
		if strings.HasPrefix(a, "-") || len(at.Below) == 0 {
			return nil
		}
		i := slices.IndexFunc(at.Below, func(c *Command) bool { return c.Name == a })
		if i < 0 {
			return errors.Newf("command %q does not exist below %q; there are: %s", a, at.Name, strings.Join(at.names(), ", "))
		}
		at = at.Below[i]
	}
	return nil
}

// takeRest moves the arguments behind the named ones of the chosen command to its Rest; the parser knows none such.
func takeRest(root *Command, args []string) []string {
	at, n := root, 0
	for ; n < len(args) && len(at.Below) > 0; n++ {
		i := slices.IndexFunc(at.Below, func(c *Command) bool { return c.Name == args[n] })
		if i < 0 {
			return args
		}
		at = at.Below[i]
	}
	if at.Rest == nil {
		return args
	}
	kept := slices.Clone(args[:n])
	named := 0
	for _, a := range args[n:] {
		switch {
		case strings.HasPrefix(a, "-"):
			kept = append(kept, a)
		case named < len(at.Arguments):
			named++
			kept = append(kept, a)
		default:
			*at.Rest.Values = append(*at.Rest.Values, a)
		}
	}
	return kept
}

func (c *Command) names() []string {
	out := make([]string, 0, len(c.Below))
	for _, b := range c.Below {
		out = append(out, b.Name)
	}
	return out
}

func attach(parent *flaggy.Subcommand, c *Command, used map[*flaggy.Subcommand]*Command) {
	sc := flaggy.NewSubcommand(c.Name)
	sc.Description = c.Help
	if c.Rest != nil {
		sc.AdditionalHelpAppend = fmt.Sprintf("  Then: %s ...  %s", c.Rest.Name, c.Rest.Help)
	}
	if c.Flags != nil {
		c.Flags(sc)
	}
	for i, a := range c.Arguments {
		sc.AddPositionalValue(a.Value, a.Name, i+1, !a.Optional, a.Help)
	}
	for _, b := range c.Below {
		attach(sc, b, used)
	}
	used[sc] = c
	parent.AttachSubcommand(sc, 1)
}

// find returns the deepest command that was named.
func find(sc *flaggy.Subcommand, used map[*flaggy.Subcommand]*Command) *Command {
	for _, b := range sc.Subcommands {
		if !b.Used {
			continue
		}
		if c := find(b, used); c != nil {
			return c
		}
		return used[b]
	}
	return nil
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	}
	return ExitFailed
}
