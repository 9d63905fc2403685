package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/flood"
)

// newFlood returns the command that runs a system under clients that do not keep to the protocol.
func newFlood() *cli.Command {
	scenario := flood.Scenario{Limits: flood.DefaultLimits()}
	var program, logs string
	c := &cli.Command{
		Name: "flood", Usage: "Play a system on loopback under floods of clients that do not keep to the protocol, and check its limits",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			if scenario.Controls != 1 && scenario.Controls != 3 && scenario.Controls != 5 {
				return errors.Errorf("--cores %d: must be 1, 3 or 5", scenario.Controls)
			}
			directory, err := os.MkdirTemp(logs, fmt.Sprintf("flood-%d-%d-", scenario.Proxies, scenario.Seed))
			if err != nil {
				return commandline.Failure(err)
			}
			scenario.Directory = directory
			if scenario.Program, err = soakProgram(program); err != nil {
				return commandline.Failure(err)
			}
			return commandline.Failure(runFlood(ctx, c, scenario))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed", Destination: &scenario.Seed},
		&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "the time in which floods and faults are drawn", Destination: &scenario.For},
		&cli.IntFlag{Name: "cores", Value: 3, Usage: "control processes: 1, 3 or 5", Destination: &scenario.Controls},
		&cli.IntFlag{Name: "proxies", Value: 2, Usage: "proxies", Destination: &scenario.Proxies},
		&cli.IntFlag{Name: "clients", Value: 150, Usage: "clients of each flood", Destination: &scenario.Clients},
		&cli.StringFlag{Name: "program", Usage: "the program to test (default: this program)", Destination: &program},
		&cli.StringFlag{Name: "logs", Usage: "the folder for logs, which are kept if a limit was exceeded", Destination: &logs},
	}
	return c
}

// runFlood plays a scenario, prints its results and returns an error for violations. It keeps the directory of a failed run.
func runFlood(ctx context.Context, c *cli.Command, scenario flood.Scenario) error {
	report, err := scenario.Run(ctx)
	if err != nil {
		return errors.Wrapf(err, "logs: %s", scenario.Directory)
	}
	fmt.Fprintf(c.Root().Writer, "seed %d, %d control processes, %d proxies: %s\n", scenario.Seed, scenario.Controls, scenario.Proxies, report.Summary())
	if len(report.Violations) == 0 {
		return os.RemoveAll(scenario.Directory)
	}
	for _, line := range report.Log {
		fmt.Fprintln(c.Root().Writer, line)
	}
	return errors.Errorf("%d violations (logs: %s)", len(report.Violations), scenario.Directory)
}
