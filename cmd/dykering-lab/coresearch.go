package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/coresim"
)

// newCoreSearch returns the commands that simulate the control plane and search for violated guarantees.
func newCoreSearch() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "Simulate the control plane in virtual time",
		Commands: []*cli.Command{newCoreExplore(), newCoreReplay(), newCoreFlaws(), newCoreRecovery()},
		Action:   commandline.MissingCommand,
	}
}

func newCoreExplore() *cli.Command {
	var first, schedules uint64
	var flaw, file, table string
	var placement, sessions, coordination bool
	c := &cli.Command{
		Name: "explore", Usage: "Play random fault schedules until a guarantee is violated",
		Action: commandline.NoArgs(func(_ context.Context, c *cli.Command) error {
			began := time.Now()
			options := coresim.Options{Flaw: coresim.Flaw(flaw), Placement: placement, Sessions: sessions, Coordination: coordination}
			failure, covered := coresim.SearchWithCoverage(first, schedules, options, func(played uint64) {
				left := time.Duration(float64(time.Since(began)) / float64(played) * float64(schedules-played))
				fmt.Fprintf(c.Root().ErrWriter, "%d of %d played, %v left\n", played, schedules, left.Round(time.Second))
			})
			fmt.Fprintf(c.Root().Writer, "%d of %d pairs of a fault and a state reached\n", covered.Reached(), coresim.Possible())
			if table != "" {
				if err := os.WriteFile(table, []byte(covered.Table()), 0o644); err != nil {
					return commandline.Failure(err)
				}
			}
			if failure == nil {
				fmt.Fprintf(c.Root().Writer, "%d schedules, no guarantee violated, %v\n", schedules, time.Since(began).Round(time.Second))
				return nil
			}
			shrunk := coresim.Shrink(*failure)
			fmt.Fprintf(c.Root().Writer, "violation after %d schedules: %v\n", shrunk.Played, shrunk.Err)
			for _, step := range shrunk.Schedule.Steps {
				fmt.Fprintf(c.Root().Writer, "  %s\n", step)
			}
			if file != "" {
				if err := writeSchedule(file, shrunk.Schedule); err != nil {
					return commandline.Failure(err)
				}
			}
			return commandline.Failure(fmt.Errorf("a guarantee was violated"))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed", Destination: &first},
		&cli.Uint64Flag{Name: "schedules", Value: 10000, Usage: "the number of schedules", Destination: &schedules},
		&cli.StringFlag{Name: "flaw", Usage: "the name of a flaw to inject", Destination: &flaw},
		&cli.BoolFlag{Name: "placement", Usage: "let the lease holder send orders to emulated endpoints", Destination: &placement},
		&cli.BoolFlag{Name: "sessions", Usage: "let emulated endpoints keep sessions, drain and deregister", Destination: &sessions},
		&cli.BoolFlag{Name: "coordination", Usage: "let emulated applications call for locks, numbers, cells and watches", Destination: &coordination},
		&cli.StringFlag{Name: "table", Usage: "the file for the table of the reached pairs", Destination: &table},
		&cli.StringFlag{Name: "out", Usage: "the file for a failing schedule", Destination: &file},
	}
	return c
}

func writeSchedule(path string, s coresim.Schedule) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func newCoreReplay() *cli.Command {
	var trace string
	c := &cli.Command{
		Name: "replay", ArgsUsage: "FILE", Usage: "Replay a saved schedule",
		Action: commandline.Args(1, 1, func(_ context.Context, c *cli.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return commandline.Failure(err)
			}
			var s coresim.Schedule
			if err := json.Unmarshal(text, &s); err != nil {
				return commandline.Failure(fmt.Errorf("%s: %w", args[0], err))
			}
			err = s.RunTraced(func(line string) {
				if trace != "" && strings.Contains(line, trace) {
					fmt.Fprintln(c.Root().Writer, line)
				}
			})
			if err != nil {
				return commandline.Failure(err)
			}
			fmt.Fprintln(c.Root().Writer, "no guarantee violated")
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "trace", Usage: "print the calls of the coordination service that contain this text", Destination: &trace},
	}
	return c
}

func newCoreFlaws() *cli.Command {
	var first, schedules uint64
	c := &cli.Command{
		Name: "flaws", Usage: "Inject each flaw and print the number of schedules that find it",
		Action: commandline.NoArgs(func(_ context.Context, c *cli.Command) error {
			missed := 0
			for _, flaw := range coresim.Flaws() {
				failure := coresim.SearchFlaw(first, schedules, flaw)
				if failure == nil {
					missed++
					fmt.Fprintf(c.Root().Writer, "| %s | not in %d |\n", flaw, schedules)
					continue
				}
				fmt.Fprintf(c.Root().Writer, "| %s | %d |\n", flaw, failure.Played)
			}
			if missed > 0 {
				return commandline.Failure(fmt.Errorf("%d flaws were not found", missed))
			}
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed", Destination: &first},
		&cli.Uint64Flag{Name: "schedules", Value: 20000, Usage: "the number of schedules for each flaw", Destination: &schedules},
	}
	return c
}

func newCoreRecovery() *cli.Command {
	var seeds uint64
	c := &cli.Command{
		Name: "recovery", Usage: "Measure the time from a fault to the next acknowledgement",
		Action: commandline.NoArgs(func(_ context.Context, c *cli.Command) error {
			kinds := []coresim.FaultKind{coresim.Kill, coresim.Freeze, coresim.Isolate, coresim.StallDisk, coresim.LoseDisk}
			for _, target := range []coresim.RecoveryTarget{coresim.TargetHead, coresim.TargetMiddle, coresim.TargetTail} {
				for _, kind := range kinds {
					printRecovery(c, target, kind, seeds)
				}
			}
			printRecovery(c, coresim.TargetAll, coresim.KillAll, seeds)
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seeds", Value: 1000, Usage: "the number of runs for each fault", Destination: &seeds},
	}
	return c
}

func printRecovery(c *cli.Command, target coresim.RecoveryTarget, kind coresim.FaultKind, seeds uint64) {
	times := coresim.MeasureRecovery(target, kind, seeds)
	fmt.Fprintf(c.Root().Writer, "| %s | %s | %v | %v | %v |\n", target, kind, times.Percentile(0.5), times.Percentile(0.99), times.Percentile(1))
}
