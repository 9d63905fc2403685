package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/emulation"
	"dykering/internal/lab/experiment"
	"dykering/internal/validation"
)

func newRun(in emulation.Bubble) *cli.Command {
	var dir string
	var fresh bool
	var parallel int
	c := &cli.Command{
		Name: "run", ArgsUsage: "EXPERIMENT.toml", Usage: "Play an experiment, or continue an interrupted one",
		Action: commandline.Args(1, 1, func(ctx context.Context, c *cli.Command, args []string) error {
			e, wrong := experiment.Load(args[0])
			if err := validation.Join(wrong); err != nil {
				return commandline.Failure(err)
			}
			e.SetBubble(in)
			if dir == "" {
				dir = filepath.Join("lab", "results", strings.TrimSuffix(filepath.Base(args[0]), ".toml"))
			}
			if fresh {
				if err := os.RemoveAll(filepath.Join(dir, experiment.RunsFile)); err != nil {
					return commandline.Failure(err)
				}
			}
			if parallel == 0 {
				if parallel = runtime.GOMAXPROCS(0); e.Engine == "real" {
					parallel = 1 // each run has enough processes for all cores
				}
			}
			command, err := brokerCommand("")
			if err != nil {
				return commandline.Failure(err)
			}
			bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(c.Root().ErrWriter), progressbar.OptionSetWidth(30),
				progressbar.OptionShowCount(), progressbar.OptionSetElapsedTime(true), progressbar.OptionSetPredictTime(true),
				progressbar.OptionSetDescription(e.Name), progressbar.OptionClearOnFinish())
			runs, err := e.Play(ctx, dir, command, parallel, func(done, total int) {
				bar.ChangeMax(total)
				bar.Set(done) // a progress bar that cannot be drawn does not stop the experiment
			})
			if err != nil {
				return commandline.Failure(fmt.Errorf("%w\ncompleted runs are kept in %s; run the same command to continue", err, dir))
			}
			rows, err := e.Write(dir, runs)
			if err != nil {
				return commandline.Failure(err)
			}
			if err := experiment.Markdown(c.Root().Writer, rows); err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "\n%d runs; tables and charts are in %s\n", len(runs), dir)
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "the folder for results (default: lab/results/ and the experiment's name)", Destination: &dir},
		&cli.BoolFlag{Name: "fresh", Usage: "start over and delete earlier runs", Destination: &fresh},
		&cli.IntFlag{Name: "at-a-time", Usage: "concurrent runs; 0 for the number of cores, or one run for the real engine", Destination: &parallel},
	}
	return c
}

func newCompare() *cli.Command {
	return &cli.Command{
		Name: "compare", ArgsUsage: "BEFORE AFTER", Usage: "Compare two folders of results: better, worse or noise",
		Action: commandline.Args(2, 2, func(_ context.Context, c *cli.Command, args []string) error {
			_, a, err := experiment.ReadRuns(args[0])
			if err != nil {
				return commandline.Failure(err)
			}
			_, b, err := experiment.ReadRuns(args[1])
			if err != nil {
				return commandline.Failure(err)
			}
			rows, err := experiment.Compare(a, b)
			if err != nil {
				return commandline.Failure(err)
			}
			return experiment.Markdown(c.Root().Writer, rows)
		}),
	}
}
