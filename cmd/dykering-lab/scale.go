package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/fleetscale"
)

// newScale measures the control plane at growing sizes.
func newScale() *cli.Command {
	var program, file string
	var steady time.Duration
	var sizes []int
	c := &cli.Command{Name: "scale", Usage: "Measure real control processes beside hollow sidecars and endpoints",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			var reports []*fleetscale.Report
			for _, sidecars := range sizes {
				options := fleetscale.Options{Program: program, Controls: 4, Sidecars: sidecars, Endpoints: sidecars * 620 / 340,
					Models: 52, Adapters: 1800, Routes: 30, Changes: 10, Steady: steady}
				report, err := fleetscale.Run(ctx, options, func(text string) {
					fmt.Fprintf(c.Root().ErrWriter, "%d sidecars: %s\n", sidecars, text)
				})
				if err != nil {
					return commandline.Fault(fmt.Errorf("%d sidecars: %w", sidecars, err))
				}
				reports = append(reports, report)
			}
			printScale(c, reports)
			if file == "" {
				return nil
			}
			text, err := json.MarshalIndent(reports, "", "  ")
			if err != nil {
				return commandline.Fault(err)
			}
			if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
				return commandline.Fault(err)
			}
			return nil
		})}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "program", Value: "target/dykering", Usage: "the built program", Destination: &program},
		&cli.DurationFlag{Name: "steady", Value: 10 * time.Second, Usage: "for how long costs are measured", Destination: &steady},
		&cli.IntSliceFlag{Name: "sidecars", Value: []int{30, 100, 340}, Usage: "sizes, in sidecars; endpoints follow", Destination: &sizes},
		&cli.StringFlag{Name: "out", Usage: "where the reports are written, as JSON", Destination: &file},
	}
	return c
}

func printScale(c *cli.Command, reports []*fleetscale.Report) {
	t := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
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
