package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dykering/internal/lab/coresim"
)

// newCoreSearch is the search of the emulated core for a broken promise.
func newCoreSearch() *cobra.Command {
	c := &cobra.Command{Use: "control", Short: "The control plane's core, emulated in virtual time", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("control: explore or replay is missing") }}
	c.AddCommand(newCoreExplore(), newCoreReplay())
	return c
}

func newCoreExplore() *cobra.Command {
	var first, schedules uint64
	var flaw, file string
	c := &cobra.Command{Use: "explore", Short: "Draw schedules of troubles until a promise is broken", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			began := time.Now()
			failure := coresim.Search(first, schedules, coresim.Flaw(flaw), func(played uint64) {
				left := time.Duration(float64(time.Since(began)) / float64(played) * float64(schedules-played))
				fmt.Fprintf(c.ErrOrStderr(), "%d of %d played, %v left\n", played, schedules, left.Round(time.Second))
			})
			if failure == nil {
				fmt.Fprintf(c.OutOrStdout(), "%d schedules, no promise broken, %v\n", schedules, time.Since(began).Round(time.Second))
				return nil
			}
			least := coresim.Shrink(*failure)
			fmt.Fprintf(c.OutOrStdout(), "broken after %d schedules: %v\n", least.Played, least.Err)
			for _, step := range least.Schedule.Steps {
				fmt.Fprintf(c.OutOrStdout(), "  %s\n", step)
			}
			if file != "" {
				if err := writeSchedule(file, least.Schedule); err != nil {
					return faulty{err}
				}
			}
			return faulty{fmt.Errorf("a promise is broken")}
		}}
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().Uint64Var(&schedules, "schedules", 10000, "how many schedules")
	c.Flags().StringVar(&flaw, "flaw", "", "a flaw to plant, by its name")
	c.Flags().StringVar(&file, "out", "", "where a failing schedule is written")
	return c
}

func writeSchedule(path string, s coresim.Schedule) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func newCoreReplay() *cobra.Command {
	return &cobra.Command{Use: "replay FILE", Short: "Play a written schedule again", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return faulty{err}
			}
			var s coresim.Schedule
			if err := json.Unmarshal(text, &s); err != nil {
				return faulty{fmt.Errorf("%s: %w", args[0], err)}
			}
			if err := s.Play(); err != nil {
				return faulty{err}
			}
			fmt.Fprintln(c.OutOrStdout(), "no promise broken")
			return nil
		}}
}
