package main

import (
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spf13/cobra"

	"dykering/internal/lab/whole"
)

// bubbled are the commands that play in virtual time with the whole program.
var bubbled = map[string]bool{"whole": true, "explore": true, "run": true}

// inBubbles runs a program that makes bubbles, and ends this process with its code. A bubble needs a testing.T, which
// only the testing package makes.
func inBubbles(run func(whole.Bubble) int) {
	os.Args = os.Args[:1] // the rest is not testing's
	testing.Main(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "bubbles",
		F: func(t *testing.T) {
			os.Exit(run(func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }))
		}}}, nil, nil)
}

func newWhole(in whole.Bubble) *cobra.Command {
	var seed uint64
	var seeds, instances, servers int
	var scale float64
	var asJSON bool
	c := &cobra.Command{Use: "whole [FILE]", Short: "Play a scenario with the whole program in virtual time, on an emulated network",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
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
				r, err := whole.Play(c.Context(), in, s, seed+uint64(i), whole.Options{Dir: dir})
				if err = errors.Join(err, os.RemoveAll(dir)); err != nil {
					return faulty{err}
				}
				jobs = append(jobs, &job{Policy: "dykering", Result: r, Took: time.Since(at)})
			}
			return report(c.OutOrStdout(), jobs, asJSON, time.Since(began))
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after another")
	c.Flags().IntVar(&instances, "instances", 0, "instances, in place of the scenario's")
	c.Flags().IntVar(&servers, "servers", 0, "servers, in place of the scenario's")
	c.Flags().Float64Var(&scale, "scale", 1, "times the scenario's rate and quotas")
	c.Flags().BoolVar(&asJSON, "json", false, "one line of JSON for each run")
	return c
}
