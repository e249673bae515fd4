// Package parse parses a command line against a tree of commands and runs the command that it names.
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
	// ExitFailed means that the arguments were valid and the command failed.
	ExitFailed = 1
	// ExitUsage means that the arguments were invalid.
	ExitUsage = 2
	// ExitUnreachable means that the server did not answer.
	ExitUnreachable = 3
)

// ErrUsage marks errors that are caused by invalid arguments.
var ErrUsage = errors.New("wrong arguments")

// ErrUnreachable marks errors that are caused by a server that did not answer.
var ErrUnreachable = errors.New("no answer")

// Argument is a positional argument.
type Argument struct {
	Name, Help string
	Value      *string
	Optional   bool
}

// Rest collects the positional arguments that follow the named ones.
type Rest struct {
	Name, Help string
	Values     *[]string
}

// Command is one command, or a group of commands if Run is nil.
type Command struct {
	Name, Help string
	Arguments  []Argument
	// Rest is nil if the command takes no further arguments.
	Rest *Rest
	// Flags adds the command's flags; nil if it has none.
	Flags       func(*flaggy.Subcommand)
	Run         func(ctx context.Context, out io.Writer) error
	Subcommands []*Command
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
	if err := checkCommandNames(root, args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", root.Name, err)
		return ExitUsage
	}
	args = extractRest(root, args)
	commands := make(map[*flaggy.Subcommand]*Command)
	for _, c := range root.Subcommands {
		attach(&p.Subcommand, c, commands)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", root.Name, err)
		return ExitUsage
	}
	chosen := findCommand(&p.Subcommand, commands)
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

// checkCommandNames returns an error for the first argument that stands where a command is expected and does not name
// one. flaggy's own message would not contain the argument.
func checkCommandNames(root *Command, args []string) error {
	cmd := root
	for _, a := range args {
		if strings.HasPrefix(a, "-") || len(cmd.Subcommands) == 0 {
			return nil
		}
		i := slices.IndexFunc(cmd.Subcommands, func(c *Command) bool { return c.Name == a })
		if i < 0 {
			return errors.Newf("command %q does not exist below %q; there are: %s", a, cmd.Name,
				strings.Join(cmd.subcommandNames(), ", "))
		}
		cmd = cmd.Subcommands[i]
	}
	return nil
}

// extractRest moves the arguments after the named ones of the chosen command to its Rest and returns the others, since
// flaggy does not support a variable number of positional arguments.
func extractRest(root *Command, args []string) []string {
	cmd, n := root, 0
	for ; n < len(args) && len(cmd.Subcommands) > 0; n++ {
		i := slices.IndexFunc(cmd.Subcommands, func(c *Command) bool { return c.Name == args[n] })
		if i < 0 {
			return args
		}
		cmd = cmd.Subcommands[i]
	}
	if cmd.Rest == nil {
		return args
	}
	kept := slices.Clone(args[:n])
	named := 0
	for _, a := range args[n:] {
		switch {
		case strings.HasPrefix(a, "-"):
			kept = append(kept, a)
		case named < len(cmd.Arguments):
			named++
			kept = append(kept, a)
		default:
			*cmd.Rest.Values = append(*cmd.Rest.Values, a)
		}
	}
	return kept
}

func (c *Command) subcommandNames() []string {
	out := make([]string, 0, len(c.Subcommands))
	for _, b := range c.Subcommands {
		out = append(out, b.Name)
	}
	return out
}

func attach(parent *flaggy.Subcommand, c *Command, commands map[*flaggy.Subcommand]*Command) {
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
	for _, b := range c.Subcommands {
		attach(sc, b, commands)
	}
	commands[sc] = c
	parent.AttachSubcommand(sc, 1)
}

// findCommand returns the innermost command below sc that was given on the command line, or nil.
func findCommand(sc *flaggy.Subcommand, commands map[*flaggy.Subcommand]*Command) *Command {
	for _, b := range sc.Subcommands {
		if !b.Used {
			continue
		}
		if c := findCommand(b, commands); c != nil {
			return c
		}
		return commands[b]
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
