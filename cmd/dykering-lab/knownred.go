package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
	"dykering/internal/lab/knownred"
)

// newKnownRed returns the command that runs tests except the known failures. It must run in the root of the repository.
func newKnownRed() *cli.Command {
	return &cli.Command{
		Name: "known-red", Usage: "Run tests except those that " + knownred.FileName + " lists as known to fail",
		Commands: []*cli.Command{newKnownRedList(), newKnownRedTest()},
	}
}

func newKnownRedList() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "Check the list and print it",
		Action: commandline.NoArgs(func(ctx context.Context, c *cli.Command) error {
			failures, err := knownred.Read(knownred.FileName)
			if err != nil {
				return commandline.Failure(err)
			}
			for _, failure := range failures {
				fmt.Fprintf(c.Root().Writer, "KNOWN RED, not run: %v\n", failure)
			}
			return commandline.Failure(new(knownred.Runner).Check(ctx, failures))
		}),
	}
}

func newKnownRedTest() *cli.Command {
	var flags string
	return &cli.Command{
		Name: "test", ArgsUsage: "PACKAGE...", Usage: "Run the tests of packages except those of the list",
		Action: commandline.Args(1, -1, func(ctx context.Context, c *cli.Command, packages []string) error {
			failures, err := knownred.Read(knownred.FileName)
			if err != nil {
				return commandline.Failure(err)
			}
			runner := knownred.Runner{Flags: strings.Fields(flags), Out: c.Root().Writer, ErrOut: c.Root().ErrWriter}
			return commandline.Failure(runner.Test(ctx, failures, packages))
		}),
		Flags: []cli.Flag{&cli.StringFlag{Name: "flags", Usage: "the flags of go test, separated by spaces", Destination: &flags}},
	}
}
