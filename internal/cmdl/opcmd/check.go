package opcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"galenaward.example/galenaward/internal/cmdl/parse"
	"galenaward.example/galenaward/internal/plat/config"
	"galenaward.example/galenaward/internal/state/conf"
)

const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
	roleGateway = "gateway"
)

func defaultSettings(role string) (config.Validator, error) {
	switch role {
	case roleEntry:
		return config.DefaultEntry(), nil
	case roleSidecar:
		return config.DefaultSidecar(), nil
	case roleGateway:
		return config.DefaultGateway(), nil
	}
	return nil, errors.Mark(
		errors.Newf("ROLE %q is none of %q, %q and %q", role, roleEntry, roleSidecar, roleGateway), parse.ErrUsage)
}

// detectRole returns the role of a settings file. Only sidecars have an upstream_url, only gateways a log_address.
func detectRole(file string) string {
	b, err := os.ReadFile(file)
	switch {
	case err == nil && bytes.Contains(b, []byte(`"upstream_url"`)):
		return roleSidecar
	case err == nil && bytes.Contains(b, []byte(`"log_address"`)):
		return roleGateway
	}
	return roleEntry
}

// Check returns the command that reports every error in a process settings file.
func Check() *parse.Command {
	file, role := "", ""
	return &parse.Command{
		Name: "check", Help: "report every fault in a process settings file",
		Arguments: []parse.Argument{{Name: "FILE", Help: "settings file, JSON with comments", Value: &file}},
		Flags: func(sc *flaggy.Subcommand) {
			sc.String(&role, "r", "role", "entry, sidecar or gateway; found by the fields if left out")
		},
		Run: func(_ context.Context, out io.Writer) error {
			if role == "" {
				role = detectRole(file)
			}
			settings, err := defaultSettings(role)
			if err != nil {
				return err
			}
			faults, err := config.Load(file, settings)
			if err != nil {
				return err
			}
			for _, f := range faults {
				fmt.Fprintf(out, "%s: %s\n", file, f)
			}
			if len(faults) > 0 {
				return errors.Newf("%d faults in %s", len(faults), file)
			}
			fmt.Fprintf(out, "%s: no faults\n", file)
			return nil
		},
	}
}

// Defaults returns the command that prints the default process settings of a role or the default settings tree.
func Defaults() *parse.Command {
	role := ""
	return &parse.Command{
		Name: "defaults", Help: "print the default settings of a role, or of the tree",
		Arguments: []parse.Argument{{Name: "ROLE", Help: "entry, sidecar or tree", Value: &role}},
		Run: func(_ context.Context, out io.Writer) error {
			if role == "tree" {
				printSettingSpecs(out)
				return nil
			}
			settings, err := defaultSettings(role)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(out)
			enc.SetIndent("", "  ")
			return enc.Encode(settings)
		},
	}
}

func printSettingSpecs(out io.Writer) {
	for _, s := range conf.Specs() {
		fmt.Fprintf(out, "%s = %s (%s, from %s to %s)\n",
			s.Name, formatFloat(s.Default), s.Unit, formatFloat(s.Min), formatFloat(s.Max))
	}
}
