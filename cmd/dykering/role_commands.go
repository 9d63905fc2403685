package main

import (
	"github.com/urfave/cli/v3"

	"dykering/internal/roles"
)

func newProxy() *cli.Command {
	return newRole("proxy", "Carry the traffic of clients, as the settings file says", roles.RunProxy)
}

func newControl() *cli.Command {
	return newRole("control", "Serve the control plane, as the settings file says", roles.RunControl)
}

func newRole(name, usage string, run func() error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: action(func(*cli.Command) error { return run() })}
}
