package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"dykering/client"
	"dykering/internal/commandline"
)

// numberResult is the JSON output of the command.
type numberResult struct {
	Number string `json:"number"`
	Value  uint64 `json:"value"`
}

func newNumber() *cli.Command {
	return &cli.Command{
		Name: "number", Usage: "Get increasing numbers from the coordination service",
		Action: commandline.MissingCommand, Commands: []*cli.Command{newNumberNext()},
	}
}

func newNumberNext() *cli.Command {
	var f coordinationFlags
	return &cli.Command{
		Name: "next", ArgsUsage: "NAME", Usage: "Print a number higher than all numbers returned under the name before", Flags: f.callFlags(),
		Action: f.action(1, func(ctx context.Context, c *client.Client, args []string) error {
			value, err := c.Next(ctx, args[0])
			if err != nil {
				return err
			}
			return f.show(numberResult{args[0], value}, strconv.FormatUint(value, 10))
		}),
	}
}
