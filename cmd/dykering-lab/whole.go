package main

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/emulation"
)

// virtualTimeCommands are the commands that run the whole program in virtual time, inside a synctest bubble.
var virtualTimeCommands = map[string]bool{"whole": true, "explore": true, "run": true}

// runInBubbles calls run with a function that runs code in a synctest bubble, and exits the process with the returned code. A bubble
// needs a testing.T, which only the testing package can create.
func runInBubbles(run func(emulation.Bubble) int) {
	os.Args = os.Args[:1] // the testing package must not parse the arguments of the command
	testing.Main(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubbles",
		F: func(t *testing.T) { //nolint:thelper // this function is the test
			os.Exit(run(func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }))
		},
	}}, nil, nil)
}

func newWhole(in emulation.Bubble) *cli.Command {
	var seed uint64
	var seeds, instances, servers int
	var scale float64
	var asJSON bool
	c := &cli.Command{
		Name: "whole", ArgsUsage: "[FILE]", Usage: "Play a scenario with the whole program in virtual time, on an emulated network",
		Action: commandline.Args(0, 1, func(ctx context.Context, c *cli.Command, args []string) error {
			s, err := loadScenario(args)
			if err != nil {
				return err
			}
			resize(s, instances, servers, scale)
			began := time.Now()
			var jobs []*job
			for i := range max(seeds, 1) {
				dir, err := os.MkdirTemp("", "dykering-lab-")
				if err != nil {
					return err
				}
				at := time.Now()
				r, err := emulation.Play(ctx, in, s, seed+uint64(i), emulation.Options{Dir: dir})
				if err = errors.Join(err, os.RemoveAll(dir)); err != nil {
					return commandline.Failure(err)
				}
				jobs = append(jobs, &job{Policy: "dykering", Result: r, Took: time.Since(at)})
			}
			return report(c.Root().Writer, jobs, asJSON, time.Since(began))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed", Destination: &seed},
		&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds", Destination: &seeds},
		&cli.IntFlag{Name: "instances", Usage: "number of instances (default: that of the scenario)", Destination: &instances},
		&cli.IntFlag{Name: "servers", Usage: "number of servers (default: that of the scenario)", Destination: &servers},
		&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor for the scenario's rate and quotas", Destination: &scale},
		&cli.BoolFlag{Name: "json", Usage: "one line of JSON for each run", Destination: &asJSON},
	}
	return c
}
