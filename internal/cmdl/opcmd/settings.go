package opcmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

// Settings returns the commands that read and change the settings tree.
func Settings() *parse.Command {
	return &parse.Command{
		Name: "settings", Help: "read and change the tree of settings",
		Subcommands: []*parse.Command{settingsGet(), settingsSet(), settingsHistory(), settingsUndo()},
	}
}

func settingsGet() *parse.Command {
	f, branch := &clientFlags{}, "/"
	return &parse.Command{
		Name: "get", Help: "show the effective values of a branch and where they come from", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "BRANCH", Help: "path such as /councils", Value: &branch, Optional: true}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Branch, error) {
				return c.ReadSettings(ctx, oasgen.ReadSettingsParams{Branch: oasgen.NewOptString(branch)})
			}, printBranch)
		},
	}
}

func printBranch(out io.Writer, b *oasgen.Branch) {
	fmt.Fprintf(out, "branch %s at version %d\n", b.Branch, b.Version)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, v := range b.Values {
		fmt.Fprintf(w, "  %s\t%s\t%s\tfrom %s\n", v.Name, formatFloat(v.Value), v.Unit, v.From)
	}
	w.Flush()
}

// formatFloat formats a number without an exponent.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func settingsSet() *parse.Command {
	f, branch, base := &clientFlags{}, "", int64(-1)
	var values, inherit []string
	return &parse.Command{
		Name: "set", Help: "change a branch",
		Arguments: []parse.Argument{{Name: "BRANCH", Help: "path such as /councils", Value: &branch}},
		Flags: func(sc *flaggy.Subcommand) {
			f.flags(sc)
			sc.StringSlice(&values, "v", "value", "NAME=VALUE; may be repeated")
			sc.StringSlice(&inherit, "i", "inherit", "NAME to inherit from the parent again; may be repeated")
			sc.Int64(&base, "b", "base", "version that the change is based on; the newest if left out")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			vs, err := parseSettingValues(values, inherit)
			if err != nil {
				return err
			}
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Change, error) {
				if err := fillBaseVersion(ctx, c, branch, &base); err != nil {
					return nil, err
				}
				return c.ChangeSettings(ctx, &oasgen.ChangeRequest{Branch: branch, BaseVersion: base, Values: vs})
			}, printChange)
		},
	}
}

// fillBaseVersion sets base to the branch's current version if the operator gave none, that is, if base is negative.
func fillBaseVersion(ctx context.Context, c *oasgen.Client, branch string, base *int64) error {
	if *base >= 0 {
		return nil
	}
	b, err := c.ReadSettings(ctx, oasgen.ReadSettingsParams{Branch: oasgen.NewOptString(branch)})
	if err != nil {
		return err
	}
	*base = b.Version
	return nil
}

func parseSettingValues(values, inherited []string) ([]oasgen.SettingValue, error) {
	var out []oasgen.SettingValue
	for _, v := range values {
		name, text, ok := strings.Cut(v, "=")
		if !ok {
			return nil, errors.Mark(errors.Newf("--value %q is not of the form NAME=VALUE", v), parse.ErrUsage)
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, errors.Mark(errors.Newf("--value %q: %q is not a number", v, text), parse.ErrUsage)
		}
		out = append(out, oasgen.SettingValue{Name: name, Value: oasgen.NewOptFloat64(x)})
	}
	for _, n := range inherited {
		out = append(out, oasgen.SettingValue{Name: n})
	}
	if len(out) == 0 {
		return nil, errors.Mark(errors.New("nothing to change: give --value or --inherit"), parse.ErrUsage)
	}
	return out, nil
}

func printChange(out io.Writer, c *oasgen.Change) {
	fmt.Fprintf(out, "change %d of %s by %s at %s\n", c.Version, c.Branch, c.Author, c.Time.Format("2006-01-02T15:04:05Z"))
	for _, v := range c.Values {
		if x, ok := v.Value.Get(); ok {
			fmt.Fprintf(out, "  %s = %s\n", v.Name, formatFloat(x))
			continue
		}
		fmt.Fprintf(out, "  %s inherited\n", v.Name)
	}
}

func settingsHistory() *parse.Command {
	f, branch := &clientFlags{}, "/"
	return &parse.Command{
		Name: "history", Help: "list the accepted changes at and below a branch", Flags: f.flags,
		Arguments: []parse.Argument{{Name: "BRANCH", Help: "path such as /councils", Value: &branch, Optional: true}},
		Run: func(ctx context.Context, out io.Writer) error {
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.ChangeList, error) {
				return c.ListChanges(ctx, oasgen.ListChangesParams{Branch: oasgen.NewOptString(branch)})
			}, func(out io.Writer, l *oasgen.ChangeList) {
				for i := range l.Changes {
					printChange(out, &l.Changes[i])
				}
			})
		},
	}
}

func settingsUndo() *parse.Command {
	f, version, base := &clientFlags{}, "", int64(-1)
	return &parse.Command{
		Name: "undo", Help: "restore the values from before a change, as a new change",
		Arguments: []parse.Argument{{Name: "VERSION", Help: "version of the change", Value: &version}},
		Flags: func(sc *flaggy.Subcommand) {
			f.flags(sc)
			sc.Int64(&base, "b", "base", "version that the undo is based on; the newest if left out")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			v, err := strconv.ParseInt(version, 10, 64)
			if err != nil {
				return errors.Mark(errors.Newf("VERSION %q is not a number", version), parse.ErrUsage)
			}
			return callServer(ctx, f, out, func(ctx context.Context, c *oasgen.Client) (*oasgen.Change, error) {
				if err := fillBaseVersion(ctx, c, "/", &base); err != nil {
					return nil, err
				}
				return c.UndoChange(ctx, &oasgen.UndoRequest{Version: v, BaseVersion: base})
			}, printChange)
		},
	}
}
