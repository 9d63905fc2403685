// Command dykering is a broker: it balances the calls of one service, or of clients, over the endpoints of the next
// tier.
package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs a command line, and returns the exit code.
func execute(args []string, out, errOut io.Writer) int {
	return commandline.Run(context.Background(), newRoot(), args, out, errOut)
}

const programUsage = "A broker between services, and the router and placer of many models: it picks a server for each request and keeps " +
	"strict rules."

func newRoot() *cli.Command {
	return &cli.Command{
		Name: "dykering", Usage: programUsage,
		Description:                     "Exit codes: 0 well, 1 a fault in what it was given or in the running, 2 a wrong command line.",
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Commands: []*cli.Command{
			newRun(), newCheck(), newConfig(), newVersion(), newFleet(), newProxy(), newControl(), newStatus(), newExplain(),
			newLock(), newKey(), newNumber(), newWatch(),
		},
	}
}

// action does the work of a command that takes no arguments. Its errors are none of the command line.
func action(work func(c *cli.Command) error) cli.ActionFunc {
	return commandline.NoArgs(func(_ context.Context, c *cli.Command) error { return commandline.Failure(work(c)) })
}
