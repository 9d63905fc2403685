package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/configsoak"
)

// newConfigSoak returns the command that runs a whole system under faults and checks the rules on the configuration.
func newConfigSoak() *cli.Command {
	var scenario configsoak.Scenario
	var program, logs string
	var debug bool
	c := &cli.Command{
		Name: "config-soak", Usage: "Play a whole system on loopback under faults, and check what becomes of configuration changes",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			if scenario.Proxies < 1 {
				return errors.New("--proxies must be at least 1")
			}
			directory, err := os.MkdirTemp(logs, fmt.Sprintf("config-soak-%d-%d-", scenario.Proxies, scenario.Seed))
			if err != nil {
				return commandline.Failure(err)
			}
			scenario.Directory = directory
			if scenario.Program, err = soakProgram(program); err != nil {
				return commandline.Failure(err)
			}
			if debug {
				scenario.Program.Env = append(scenario.Program.Env, "DYKERING_LOG_LEVEL=debug")
			}
			return commandline.Failure(runConfigSoak(ctx, c, scenario))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed", Destination: &scenario.Seed},
		&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "the time in which faults are injected", Destination: &scenario.For},
		&cli.IntFlag{Name: "proxies", Value: 6, Usage: "the number of proxies", Destination: &scenario.Proxies},
		&cli.StringFlag{Name: "program", Usage: "the program to test (default: this program)", Destination: &program},
		&cli.StringFlag{Name: "logs", Usage: "the folder for logs and traces, which are kept if a rule was violated", Destination: &logs},
		&cli.BoolFlag{Name: "debug", Usage: "processes log each attempt", Destination: &debug},
	}
	return c
}

// runConfigSoak plays a scenario, prints its results and returns an error for violations. It keeps the directory of a failed run.
func runConfigSoak(ctx context.Context, c *cli.Command, scenario configsoak.Scenario) error {
	report, err := scenario.Run(ctx)
	if err != nil {
		return errors.Wrapf(err, "logs: %s", scenario.Directory)
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "seed %d, %d proxies: %s\n", scenario.Seed, scenario.Proxies, report.Summary())
	if len(report.Violations) == 0 {
		return os.RemoveAll(scenario.Directory)
	}
	fmt.Fprintf(out, "violations: %v\n", report.CountByRule())
	for _, violation := range report.Violations[:min(len(report.Violations), maxPrintedViolations)] {
		fmt.Fprintln(out, violation)
	}
	return errors.Errorf("%d rule violations (logs: %s)", len(report.Violations), scenario.Directory)
}
