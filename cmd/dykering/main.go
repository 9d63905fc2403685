// Command dykering is a load balancer for service calls, and a router with model placement for inference requests. It runs as
// a sidecar (dykering run) or as a control process or proxy of the system (dykering control, dykering proxy), and has commands
// for operators.
package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs a command line and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	return commandline.Run(context.Background(), newRoot(), args, out, errOut)
}

const programUsage = "Load balancer between services, and router and placement controller for models"

func newRoot() *cli.Command {
	return &cli.Command{
		Name: "dykering", Usage: programUsage,
		Description:                     "Exit codes: 0 success, 1 invalid input or a failure while running, 2 invalid command line.",
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Commands: []*cli.Command{
			newRun(), newCheck(), newConfig(), newVersion(), newFleet(), newProxy(), newControl(), newStatus(), newExplain(),
			newLock(), newKey(), newNumber(), newWatch(),
		},
	}
}

// action returns the action of a command that takes no arguments. It marks errors of work as failures, not usage errors.
func action(work func(c *cli.Command) error) cli.ActionFunc {
	return commandline.NoArgs(func(_ context.Context, c *cli.Command) error { return commandline.Failure(work(c)) })
}
