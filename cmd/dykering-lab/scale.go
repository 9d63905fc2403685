package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dykering/internal/lab/fleetscale"
)

// newScale measures the control plane at growing sizes.
func newScale() *cobra.Command {
	var program, file string
	var steady time.Duration
	var sizes []int
	c := &cobra.Command{Use: "scale", Short: "Measure real control processes beside hollow sidecars and endpoints", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var reports []*fleetscale.Report
			for _, sidecars := range sizes {
				options := fleetscale.Options{Program: program, Controls: 4, Sidecars: sidecars, Endpoints: sidecars * 620 / 340,
					Models: 52, Adapters: 1800, Routes: 30, Changes: 10, Steady: steady}
				report, err := fleetscale.Run(c.Context(), options, func(text string) {
					fmt.Fprintf(c.ErrOrStderr(), "%d sidecars: %s\n", sidecars, text)
				})
				if err != nil {
					return faulty{fmt.Errorf("%d sidecars: %w", sidecars, err)}
				}
				reports = append(reports, report)
			}
			printScale(c, reports)
			if file == "" {
				return nil
			}
			text, err := json.MarshalIndent(reports, "", "  ")
			if err != nil {
				return faulty{err}
			}
			if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
				return faulty{err}
			}
			return nil
		}}
	c.Flags().StringVar(&program, "program", "target/dykering", "the built program")
	c.Flags().DurationVar(&steady, "steady", 10*time.Second, "for how long costs are measured")
	c.Flags().IntSliceVar(&sizes, "sidecars", []int{30, 100, 340}, "sizes, in sidecars; endpoints follow")
	c.Flags().StringVar(&file, "out", "", "where the reports are written, as JSON")
	return c
}

func printScale(c *cobra.Command, reports []*fleetscale.Report) {
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	row := func(name string, value func(*fleetscale.Report) string) {
		fmt.Fprint(t, name)
		for _, r := range reports {
			fmt.Fprint(t, "\t", value(r))
		}
		fmt.Fprintln(t)
	}
	times := func(x fleetscale.Times) string {
		return fmt.Sprintf("%v / %v / %v", x.P50.Round(time.Millisecond), x.P99.Round(time.Millisecond), x.Last.Round(time.Millisecond))
	}
	row("sidecars / endpoints", func(r *fleetscale.Report) string {
		return fmt.Sprintf("%d / %d", r.Options.Sidecars, r.Options.Endpoints)
	})
	row("control: % of a core, mean / most", func(r *fleetscale.Report) string {
		var sum, most float64
		for _, cost := range r.Controls {
			sum += cost.CoreShare
			most = max(most, cost.CoreShare)
		}
		return fmt.Sprintf("%.1f / %.1f", 100*sum/float64(len(r.Controls)), 100*most)
	})
	row("control: MB, most", func(r *fleetscale.Report) string {
		var most float64
		for _, cost := range r.Controls {
			most = max(most, cost.MemoryMB)
		}
		return fmt.Sprintf("%.0f", most)
	})
	row("to a sidecar: bytes a second", func(r *fleetscale.Report) string { return fmt.Sprintf("%.0f", r.SidecarBytesPerS) })
	row("to a sidecar: messages a second", func(r *fleetscale.Report) string { return fmt.Sprintf("%.1f", r.SidecarMsgsPerS) })
	row("to a joining sidecar: kB", func(r *fleetscale.Report) string { return fmt.Sprintf("%.0f", r.WholeBytes/1000) })
	row("all have joined", func(r *fleetscale.Report) string { return r.JoinLast.Round(time.Millisecond).String() })
	row("change in force: p50 / p99 / last", func(r *fleetscale.Report) string { return times(r.Change) })
	row("change acknowledged", func(r *fleetscale.Report) string { return times(r.ChangeAck) })
	row("change in force while sidecars restart", func(r *fleetscale.Report) string { return times(r.RestartChange) })
	row("restarted sidecar ready", func(r *fleetscale.Report) string { return times(r.RestartReady) })
	row("drain heard: p50 / p99 / last", func(r *fleetscale.Report) string { return times(r.Drain) })
	row("head killed: next change acknowledged", func(r *fleetscale.Report) string { return r.AfterKillAck.Round(time.Millisecond).String() })
	row("head killed: that change in force everywhere", func(r *fleetscale.Report) string { return r.AfterKill.Round(time.Millisecond).String() })
	t.Flush()
}
