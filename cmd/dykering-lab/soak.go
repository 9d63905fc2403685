package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/soak"
)

// newSoak returns the command that runs control processes under faults and checks the history of their clients.
func newSoak() *cli.Command {
	var scenario soak.Scenario
	var program, logs string
	c := &cli.Command{
		Name: "soak", Usage: "Play control processes on loopback under faults, and check what clients of the coordination service see",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			if scenario.Cores != 3 && scenario.Cores != 5 {
				return errors.Errorf("--cores %d: must be 3 or 5", scenario.Cores)
			}
			directory, err := os.MkdirTemp(logs, fmt.Sprintf("soak-%d-%d-", scenario.Cores, scenario.Seed))
			if err != nil {
				return commandline.Failure(err)
			}
			scenario.Directory = directory
			if scenario.Program, err = soakProgram(program); err != nil {
				return commandline.Failure(err)
			}
			return commandline.Failure(runSoak(ctx, c, scenario))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed", Destination: &scenario.Seed},
		&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "the time in which faults are injected", Destination: &scenario.For},
		&cli.IntFlag{Name: "cores", Value: 3, Usage: "control processes: 3 or 5", Destination: &scenario.Cores},
		&cli.StringFlag{Name: "program", Usage: "the program to test (default: this program)", Destination: &program},
		&cli.StringFlag{Name: "logs", Usage: "the folder for logs and the history, which are kept if a rule was violated", Destination: &logs},
	}
	return c
}

// soakProgram returns the program to test: the given one, or this program with its hidden command role.
func soakProgram(program string) (localprocess.Program, error) {
	if program != "" {
		return localprocess.Program{Command: []string{program}}, nil
	}
	self, err := os.Executable()
	return localprocess.Program{Command: []string{self, "role"}}, err
}

// runSoak plays a scenario, prints its results and returns an error for violations. It keeps the directory of a failed run.
func runSoak(ctx context.Context, c *cli.Command, scenario soak.Scenario) error {
	report, err := scenario.Run(ctx)
	if err != nil {
		return errors.Wrapf(err, "logs: %s", scenario.Directory)
	}
	fmt.Fprintf(c.Root().Writer, "seed %d, %d cores: %s\n", scenario.Seed, scenario.Cores, report.Summary())
	for _, fault := range report.Faults {
		fmt.Fprintln(c.Root().Writer, fault)
	}
	if len(report.Violations) == 0 {
		return os.RemoveAll(scenario.Directory)
	}
	for _, violation := range report.Violations {
		fmt.Fprintln(c.Root().Writer, violation)
	}
	return errors.Errorf("%d rule violations (logs: %s)", len(report.Violations), scenario.Directory)
}
