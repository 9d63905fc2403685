package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/trial"
)

// newTrial returns the command that compares two builds by benchmark runs.
func newTrial() *cli.Command {
	spec := trial.Spec{Variants: []trial.Variant{{Name: "base", Tree: "."}, {Name: "changed"}}}
	var name string
	var seeds []int64
	c := &cli.Command{
		Name: "trial", Usage: "Play the same days with two builds through the bench, and compare",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			spec.Variants[1].Name = name
			spec.Reason = "trial " + name + ": " + spec.Reason
			for _, seed := range seeds {
				spec.Seeds = append(spec.Seeds, uint64(seed))
			}
			outcomes, err := trial.Run(ctx, &spec, func(done, all int) {
				fmt.Fprintf(c.Root().ErrWriter, "%d of %d\n", done, all)
			})
			if err != nil {
				return commandline.Failure(err)
			}
			if err := trial.Write(c.Root().Writer, spec.Variants, outcomes); err != nil {
				return commandline.Failure(err)
			}
			return nil
		}),
	}
	c.Flags = []cli.Flag{
		&cli.StringFlag{Name: "bench", Required: true, Usage: "the bench's program", Destination: &spec.Bench},
		&cli.StringFlag{Name: "name", Required: true, Usage: "the trial's name", Destination: &name},
		&cli.StringFlag{Name: "base", Value: ".", Usage: "the folder with the base's sources", Destination: &spec.Variants[0].Tree},
		&cli.StringFlag{Name: "base-name", Value: "base", Usage: "the base's name in the results", Destination: &spec.Variants[0].Name},
		&cli.StringFlag{Name: "changed", Required: true, Usage: "the folder with the changed sources", Destination: &spec.Variants[1].Tree},
		&cli.StringSliceFlag{Name: "site", Required: true, Usage: "a site file", Destination: &spec.Sites},
		&cli.StringSliceFlag{Name: "day", Usage: "a day (default: all days of the site file)", Destination: &spec.Days},
		&cli.Int64SliceFlag{Name: "seed", Value: []int64{11, 22, 33, 44, 55}, Usage: "a seed", Destination: &seeds},
		&cli.BoolFlag{Name: "small", Usage: "play the scaled-down versions of large days", Destination: &spec.Small},
		&cli.StringFlag{Name: "results", Value: "lab/results/trials", Usage: "the folder that results are kept in", Destination: &spec.Results},
		&cli.IntFlag{Name: "jobs", Value: 2, Usage: "number of concurrent plays", Destination: &spec.Parallel},
		&cli.StringFlag{Name: "why", Required: true, Usage: "the reason for the trial, which the benchmark records", Destination: &spec.Reason},
	}
	return c
}
