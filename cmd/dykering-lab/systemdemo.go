package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/systemdemo"
	"dykering/internal/roles"
)

func newSystemDemo() *cli.Command {
	return &cli.Command{
		Name:   "system-demo",
		Usage:  "Show the whole system on loopback: requests, a model that is loaded, a lock that changes its holder, and the loss of a control process",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error { return commandline.Failure(systemDemo(ctx, c)) }),
	}
}

// systemDemo plays the demo with this program as each process. It keeps the logs if the demo fails.
func systemDemo(ctx context.Context, c *cli.Command) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "dykering-demo-")
	if err != nil {
		return err
	}
	demo := systemdemo.Demo{
		Program: localprocess.Program{Command: []string{self, "role"}}, Directory: directory, Out: c.Root().Writer,
	}
	if _, err := demo.Run(ctx); err != nil && ctx.Err() == nil {
		return fmt.Errorf("%w (logs: %s)", err, directory)
	}
	return os.RemoveAll(directory)
}

// newRole returns the hidden command that runs a control process or a proxy, like the same commands of dykering.
func newRole() *cli.Command {
	return &cli.Command{
		Name: "role", Hidden: true, Usage: "A process of the system", Action: commandline.MissingCommand,
		Commands: []*cli.Command{
			{Name: "control", Action: commandline.NoArgs(func(context.Context, *cli.Command) error {
				return commandline.Failure(roles.RunControl())
			})},
			{Name: "proxy", Action: commandline.NoArgs(func(context.Context, *cli.Command) error {
				return commandline.Failure(roles.RunProxy())
			})},
		},
	}
}
