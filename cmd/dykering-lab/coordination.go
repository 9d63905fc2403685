package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/coordinationload"
	"dykering/internal/lab/localprocess"
)

// newCoordination returns the command that load-tests the coordination service.
func newCoordination() *cli.Command {
	load := &coordinationload.Load{}
	var mix string
	c := &cli.Command{
		Name: "coordination", Usage: "Load the coordination service of control processes on loopback, and measure its calls",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			var err error
			if load.Mix, err = coordinationload.ParseMix(mix); err != nil {
				return err
			}
			if err := load.Validate(); err != nil {
				return err
			}
			return commandline.Failure(runCoordination(ctx, c, load))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.IntFlag{Name: "cores", Value: 3, Usage: "control processes: 1, 3, 5 or 9", Destination: &load.Cores},
		&cli.IntFlag{Name: "groups", Value: 8, Usage: "groups that keys, locks and numbers are spread over", Destination: &load.Groups},
		&cli.IntFlag{Name: "callers", Value: 16, Usage: "callers that send one operation after another (closed loop)", Destination: &load.Callers},
		&cli.FloatFlag{Name: "rate", Usage: "operations a second, in place of callers (open loop)", Destination: &load.PerSecond},
		&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "the duration of the load", Destination: &load.Duration},
		&cli.StringFlag{Name: "mix", Value: "puts=4,reads=4,locks=1,numbers=1", Usage: "weights of the operations", Destination: &mix},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed of the random operations", Destination: &load.Seed},
	}
	return c
}

// runCoordination runs a load test with this program as each control process. It keeps their logs if the test fails.
func runCoordination(ctx context.Context, c *cli.Command, load *coordinationload.Load) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	load.Program = localprocess.Program{Command: []string{self, "role"}}
	if load.Directory, err = os.MkdirTemp("", "dykering-coordination-"); err != nil {
		return err
	}
	report, err := load.Run(ctx)
	if err != nil && ctx.Err() == nil {
		return errors.Wrapf(err, "logs: %s", load.Directory)
	}
	if err := errors.Wrap(os.RemoveAll(load.Directory), "remove the directory of the processes"); err != nil || report == nil {
		return err
	}
	if load.PerSecond > 0 {
		fmt.Fprintf(c.Root().Writer, "%d cores, %d groups, %v operations a second for %v\n", load.Cores, load.Groups, load.PerSecond, load.Duration)
	} else {
		fmt.Fprintf(c.Root().Writer, "%d cores, %d groups, %d callers for %v\n", load.Cores, load.Groups, load.Callers, load.Duration)
	}
	report.Print(c.Root().Writer)
	return ctx.Err()
}
