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
		RunE: func(*cobra.Command, []string) error { return fmt.Errorf("control: explore, replay, flaws or recovery is missing") }}
	c.AddCommand(newCoreExplore(), newCoreReplay(), newCoreFlaws(), newCoreRecovery())
	return c
}

func newCoreExplore() *cobra.Command {
	var first, schedules uint64
	var flaw, file, table string
	c := &cobra.Command{Use: "explore", Short: "Draw schedules of troubles until a promise is broken", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			began := time.Now()
			failure, covered := coresim.SearchCovering(first, schedules, coresim.Flaw(flaw), func(played uint64) {
				left := time.Duration(float64(time.Since(began)) / float64(played) * float64(schedules-played))
				fmt.Fprintf(c.ErrOrStderr(), "%d of %d played, %v left\n", played, schedules, left.Round(time.Second))
			})
			fmt.Fprintf(c.OutOrStdout(), "%d of %d pairs of a trouble and a state reached\n", covered.Reached(), coresim.Possible())
			if table != "" {
				if err := os.WriteFile(table, []byte(covered.Table()), 0o644); err != nil {
					return faulty{err}
				}
			}
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
	c.Flags().StringVar(&table, "table", "", "where the table of the pairs that were reached is written")
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

func newCoreFlaws() *cobra.Command {
	var first, schedules uint64
	c := &cobra.Command{Use: "flaws", Short: "Plant each flaw and tell how many schedules find it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			missed := 0
			for _, flaw := range coresim.Flaws() {
				failure := coresim.Search(first, schedules, flaw, nil)
				if failure == nil {
					missed++
					fmt.Fprintf(c.OutOrStdout(), "| %s | not in %d |\n", flaw, schedules)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "| %s | %d |\n", flaw, failure.Played)
			}
			if missed > 0 {
				return faulty{fmt.Errorf("%d flaws were not found", missed)}
			}
			return nil
		}}
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().Uint64Var(&schedules, "schedules", 20000, "how many schedules for each flaw")
	return c
}

func newCoreRecovery() *cobra.Command {
	var seeds uint64
	c := &cobra.Command{Use: "recovery", Short: "Measure the time from a trouble to the next acknowledgement", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			kinds := []coresim.Kind{coresim.Kill, coresim.Freeze, coresim.Isolate, coresim.Stall, coresim.Wipe}
			for _, struck := range []coresim.Struck{coresim.StruckHead, coresim.StruckMiddle, coresim.StruckTail} {
				for _, kind := range kinds {
					tellRecovery(c, struck, kind, seeds)
				}
			}
			tellRecovery(c, coresim.StruckAll, coresim.KillAll, seeds)
			return nil
		}}
	c.Flags().Uint64Var(&seeds, "seeds", 1000, "how often each trouble strikes")
	return c
}

func tellRecovery(c *cobra.Command, struck coresim.Struck, kind coresim.Kind, seeds uint64) {
	times := coresim.MeasureRecovery(struck, kind, seeds)
	fmt.Fprintf(c.OutOrStdout(), "| %s | %s | %v | %v | %v |\n", struck, kind, times.Percentile(0.5), times.Percentile(0.99), times.Percentile(1))
}
