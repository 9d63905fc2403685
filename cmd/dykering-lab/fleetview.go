package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/swim"
)

// newFleetView returns the command that simulates the fleet's gossip protocol (package swim) in virtual time and prints a table.
func newFleetView() *cli.Command {
	var sizes []int
	var crashes int
	var loss float64
	var seed uint64
	c := &cli.Command{
		Name: "fleet-view", Usage: "The fleet's view by gossip in virtual time: detection, false suspicion, heal, load",
		Action: commandline.NoArgs(func(_ context.Context, c *cli.Command) error {
			if loss < 0 || loss >= 1 || crashes < 1 {
				return fmt.Errorf("--loss is a share below 1, and --crashes at least 1")
			}
			t := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "members\tdetect p50\tp99\tundetected\tfalse suspicions /member-h\tfalse deaths /member-h\theal to one view\tbytes /member-s\ttook")
			for _, n := range sizes {
				if n < 2 {
					return fmt.Errorf("--members %d: must be at least 2", n)
				}
				began := time.Now()
				r := swim.Measure(n, swim.LAN(), crashes, loss, seed)
				fmt.Fprintf(t, "%d\t%.2fs\t%.2fs\t%d\t%.2f\t%.3f\t%.1fs\t%.0f\t%.1fs\n", n, r.DetectP50.Seconds(),
					r.DetectP99.Seconds(), r.Undetected, r.FalsePerMemberHour, r.FalseDeathsPerMemberHour,
					r.Heal.Seconds(), r.BytesPerMemberSecond, time.Since(began).Seconds())

			}
			return t.Flush()
		}),
	}
	c.Flags = []cli.Flag{
		&cli.IntSliceFlag{Name: "members", Value: []int{5, 10, 30, 300, 1000}, Usage: "sizes of the fleet", Destination: &sizes},
		&cli.IntFlag{Name: "crashes", Value: 20, Usage: "number of consecutive crashes, at most half of the fleet", Destination: &crashes},
		&cli.FloatFlag{Name: "loss", Value: 0.2, Usage: "share of messages lost in the trial of false suspicion (1 minute)", Destination: &loss},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the random seed", Destination: &seed},
	}
	return c
}
