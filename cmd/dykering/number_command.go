package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"dykering/client"
	"dykering/internal/commandline"
)

// numberResult is what the command prints as JSON.
type numberResult struct {
	Number string `json:"number"`
	Value  uint64 `json:"value"`
}

func newNumber() *cli.Command {
	return &cli.Command{
		Name: "number", Usage: "Numbers of the coordination service that rise",
		Action: commandline.MissingCommand, Commands: []*cli.Command{newNumberNext()},
	}
}

func newNumberNext() *cli.Command {
	var f coordinationFlags
	return &cli.Command{
		Name: "next", ArgsUsage: "NAME", Usage: "Print a number above all that were given under the name", Flags: f.callFlags(),
		Action: f.action(1, func(ctx context.Context, c *client.Client, args []string) error {
			value, err := c.Next(ctx, args[0])
			if err != nil {
				return err
			}
			return f.show(numberResult{args[0], value}, strconv.FormatUint(value, 10))
		}),
	}
}
