package main

import (
	"github.com/urfave/cli/v3"

	"dykering/internal/roles"
)

func newProxy() *cli.Command {
	return newRole("proxy", "Run the proxy for client traffic with the settings file in DYKERING_NODE_FILE", roles.RunProxy)
}

func newControl() *cli.Command {
	return newRole("control", "Run the control plane with the settings file in DYKERING_NODE_FILE", roles.RunControl)
}

func newRole(name, usage string, run func() error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: action(func(*cli.Command) error { return run() })}
}
