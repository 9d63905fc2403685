package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/upgrade"
)

func newUpgrade() *cli.Command {
	var from, to string
	c := &cli.Command{
		Name: "upgrade", Usage: "Play a rolling upgrade of the system from one program to another and back, on loopback",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			directory, err := upgrade.TemporaryDirectory()
			if err != nil {
				return commandline.Failure(err)
			}
			scenario := upgrade.Scenario{
				From: localprocess.Program{Command: []string{from}}, To: localprocess.Program{Command: []string{to}},
				Directory: directory, Progress: c.Root().Writer,
			}
			report, err := scenario.Run(ctx)
			fmt.Fprintf(c.Root().Writer, "changes acknowledged %d, drains acknowledged %d, models loaded %d, answers %v\n", report.Changes,
				report.Drains, report.Loads, report.Answers)
			if err != nil {
				return commandline.Failure(fmt.Errorf("%w (logs: %s)", err, directory))
			}
			return os.RemoveAll(directory)
		}),
	}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "from", Required: true, Usage: "the program that the system runs at the start and at the end", Destination: &from},
		&cli.StringFlag{Name: "to", Required: true, Usage: "the program that it is upgraded to", Destination: &to},
	}
	return c
}
