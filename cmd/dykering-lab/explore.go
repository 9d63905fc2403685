package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/emulation"
	"dykering/internal/lab/explore"
)

func newExplore(in emulation.Bubble) *cli.Command {
	var seed uint64
	var parallel, maxRuns int
	var dir string
	var duration time.Duration
	c := &cli.Command{
		Name: "explore", Usage: "Search for rule violations: inject random faults into the whole program, in virtual time",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			if parallel == 0 {
				parallel = runtime.GOMAXPROCS(0)
			}
			scratch, err := os.MkdirTemp("", "dykering-lab-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(scratch)
			s := &explore.Search{Explorer: &explore.Explorer{Bubble: in, Dir: scratch}, Directory: dir, Seed: seed, Parallel: parallel, MaxRuns: maxRuns}
			if duration > 0 {
				s.Until = time.Now().Add(duration)
			}
			bar := progressbar.NewOptions(max(maxRuns, -1), progressbar.OptionSetWriter(c.Root().ErrWriter), progressbar.OptionSetWidth(30),
				progressbar.OptionShowCount(), progressbar.OptionShowIts(), progressbar.OptionSetElapsedTime(true),
				progressbar.OptionSetPredictTime(maxRuns > 0), progressbar.OptionThrottle(500*time.Millisecond))
			s.OnProgress = func(runs, covered, finds int) {
				bar.Describe(fmt.Sprintf("%d pairs, %d finds", covered, finds))
				bar.Set(runs) // a progress bar that cannot be drawn does not stop the search
			}
			began := time.Now()
			r, err := s.Run(ctx)
			if err != nil {
				return commandline.Failure(err)
			}
			out := c.Root().Writer
			fmt.Fprintf(out, "\n%d runs, %d requests; this time %.0f s; %d of %d pairs of faults and stages reached\n", r.Runs, r.Offered,
				time.Since(began).Seconds(), len(r.Reached), len(r.Reached)+len(r.Missing))
			missing := map[string][]string{}
			for _, p := range r.Missing {
				missing[p.Fault] = append(missing[p.Fault], p.Stage)
			}
			for _, fault := range slices.Sorted(maps.Keys(missing)) {
				fmt.Fprintf(out, "not reached: %s in %s\n", fault, strings.Join(missing[fault], " "))
			}
			if len(r.ViolationCounts) > 0 {
				return commandline.Failure(fmt.Errorf("runs with rule violations: %v; replays: %s", r.ViolationCounts, strings.Join(r.Finds, ", ")))
			}
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the random seed", Destination: &seed},
		&cli.IntFlag{Name: "runs", Usage: "maximum number of runs, including those of an interrupted search; 0 for no limit", Destination: &maxRuns},
		&cli.DurationFlag{Name: "for", Usage: "maximum duration; 0 for no limit", Destination: &duration},
		&cli.IntFlag{Name: "at-a-time", Usage: "concurrent runs; 0 for the number of cores", Destination: &parallel},
		&cli.StringFlag{Name: "out", Value: filepath.Join("lab", "results", "explore"), Usage: "the folder for runs and finds; an interrupted search continues there", Destination: &dir},
	}
	return c
}
