package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"dykering/internal/faults"
	"dykering/internal/lab/experiment"
	"dykering/internal/lab/whole"
)

func newRun(in whole.Bubble) *cobra.Command {
	var dir string
	var fresh bool
	var at int
	c := &cobra.Command{Use: "run EXPERIMENT.toml", Short: "Play an experiment, or what of it has not been played yet", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, wrong := experiment.Load(args[0])
			if err := faults.Join(wrong); err != nil {
				return faulty{err}
			}
			e.In(in)
			if dir == "" {
				dir = filepath.Join("lab", "results", strings.TrimSuffix(filepath.Base(args[0]), ".toml"))
			}
			if fresh {
				if err := os.RemoveAll(filepath.Join(dir, experiment.RunsFile)); err != nil {
					return faulty{err}
				}
			}
			if at == 0 {
				if at = runtime.GOMAXPROCS(0); e.Engine == "real" {
					at = 1 // each has processes enough for all cores
				}
			}
			command, err := brokerCommand("")
			if err != nil {
				return faulty{err}
			}
			bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(c.ErrOrStderr()), progressbar.OptionSetWidth(30),
				progressbar.OptionShowCount(), progressbar.OptionSetElapsedTime(true), progressbar.OptionSetPredictTime(true),
				progressbar.OptionSetDescription(e.Name), progressbar.OptionClearOnFinish())
			runs, err := e.Play(c.Context(), dir, command, at, func(done, of int) {
				bar.ChangeMax(of)
				bar.Set(done) // what cannot be drawn is not worth an end
			})
			if err != nil {
				return faulty{fmt.Errorf("%w\nwhat was played is kept in %s, and the same command goes on with it", err, dir)}
			}
			rows, err := e.Write(dir, runs)
			if err != nil {
				return faulty{err}
			}
			if err := experiment.Markdown(c.OutOrStdout(), rows); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "\n%d runs; tables and charts are in %s\n", len(runs), dir)
			return nil
		}}
	c.Flags().StringVar(&dir, "out", "", "the folder for results; without it, lab/results and the experiment's name")
	c.Flags().BoolVar(&fresh, "fresh", false, "begin anew, and forget what was played")
	c.Flags().IntVar(&at, "at-a-time", 0, "runs beside each other; 0 for as many as there are cores, one on sockets")
	return c
}

func newCompare() *cobra.Command {
	return &cobra.Command{Use: "compare BEFORE AFTER", Short: "Say of two folders of results what is better, worse or noise", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			_, a, err := experiment.ReadRuns(args[0])
			if err != nil {
				return faulty{err}
			}
			_, b, err := experiment.ReadRuns(args[1])
			if err != nil {
				return faulty{err}
			}
			rows, err := experiment.Compare(a, b)
			if err != nil {
				return faulty{err}
			}
			return experiment.Markdown(c.OutOrStdout(), rows)
		}}
}
