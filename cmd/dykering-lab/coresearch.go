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

// newCoreSearch is the search of the emulated core for a broken promise.
func newCoreSearch() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "The control plane's core, emulated in virtual time",
		Commands: []*cli.Command{newCoreExplore(), newCoreReplay(), newCoreFlaws(), newCoreRecovery()},
		Action:   commandline.MissingCommand,
	}
}

func newCoreExplore() *cli.Command {
	var first, schedules uint64
	var flaw, file, table string
	var placement, sessions, coordination bool
	c := &cli.Command{
		Name: "explore", Usage: "Draw schedules of troubles until a promise is broken",
		Action: commandline.NoArgs(func(_ context.Context, c *cli.Command) error {
			began := time.Now()
			options := coresim.Options{Flaw: coresim.Flaw(flaw), Placement: placement, Sessions: sessions, Coordination: coordination}
			failure, covered := coresim.SearchWithCoverage(first, schedules, options, func(played uint64) {
				left := time.Duration(float64(time.Since(began)) / float64(played) * float64(schedules-played))
				fmt.Fprintf(c.Root().ErrWriter, "%d of %d played, %v left\n", played, schedules, left.Round(time.Second))
			})
			fmt.Fprintf(c.Root().Writer, "%d of %d pairs of a trouble and a state reached\n", covered.Reached(), coresim.Possible())
			if table != "" {
				if err := os.WriteFile(table, []byte(covered.Table()), 0o644); err != nil {
					return commandline.Failure(err)
				}
			}
			if failure == nil {
				fmt.Fprintf(c.Root().Writer, "%d schedules, no promise broken, %v\n", schedules, time.Since(began).Round(time.Second))
				return nil
			}
			least := coresim.Shrink(*failure)
			fmt.Fprintf(c.Root().Writer, "broken after %d schedules: %v\n", least.Played, least.Err)
			for _, step := range least.Schedule.Steps {
				fmt.Fprintf(c.Root().Writer, "  %s\n", step)
			}
			if file != "" {
				if err := writeSchedule(file, least.Schedule); err != nil {
					return commandline.Failure(err)
				}
			}
			return commandline.Failure(fmt.Errorf("a promise is broken"))
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed", Destination: &first},
		&cli.Uint64Flag{Name: "schedules", Value: 10000, Usage: "how many schedules", Destination: &schedules},
		&cli.StringFlag{Name: "flaw", Usage: "a flaw to plant, by its name", Destination: &flaw},
		&cli.BoolFlag{Name: "placement", Usage: "let the lease holder send orders to emulated endpoints", Destination: &placement},
		&cli.BoolFlag{Name: "sessions", Usage: "let emulated endpoints keep sessions, drain and deregister", Destination: &sessions},
		&cli.BoolFlag{Name: "coordination", Usage: "let emulated applications call for locks, numbers, cells and watches", Destination: &coordination},
		&cli.StringFlag{Name: "table", Usage: "where the table of the pairs that were reached is written", Destination: &table},
		&cli.StringFlag{Name: "out", Usage: "where a failing schedule is written", Destination: &file},
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
		Name: "replay", ArgsUsage: "FILE", Usage: "Play a written schedule again",
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
			fmt.Fprintln(c.Root().Writer, "no promise broken")
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
		Name: "flaws", Usage: "Plant each flaw and tell how many schedules find it",
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
		&cli.Uint64Flag{Name: "schedules", Value: 20000, Usage: "how many schedules for each flaw", Destination: &schedules},
	}
	return c
}

func newCoreRecovery() *cli.Command {
	var seeds uint64
	c := &cli.Command{
		Name: "recovery", Usage: "Measure the time from a trouble to the next acknowledgement",
		Action: commandline.NoArgs(func(_ context.Context, c *cli.Command) error {
			kinds := []coresim.FaultKind{coresim.Kill, coresim.Freeze, coresim.Isolate, coresim.StallDisk, coresim.LoseDisk}
			for _, struck := range []coresim.RecoveryTarget{coresim.TargetHead, coresim.TargetMiddle, coresim.TargetTail} {
				for _, kind := range kinds {
					printRecovery(c, struck, kind, seeds)
				}
			}
			printRecovery(c, coresim.TargetAll, coresim.KillAll, seeds)
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seeds", Value: 1000, Usage: "how often each trouble strikes", Destination: &seeds},
	}
	return c
}

func printRecovery(c *cli.Command, struck coresim.RecoveryTarget, kind coresim.FaultKind, seeds uint64) {
	times := coresim.MeasureRecovery(struck, kind, seeds)
	fmt.Fprintf(c.Root().Writer, "| %s | %s | %v | %v | %v |\n", struck, kind, times.Percentile(0.5), times.Percentile(0.99), times.Percentile(1))
}
