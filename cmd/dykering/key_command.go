package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"dykering/client"
	"dykering/internal/commandline"
)

// keyResult is the JSON output of the commands for keys.
type keyResult struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

func newKey() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "Read and set a key of the coordination service",
		Action: commandline.MissingCommand, Commands: []*cli.Command{newKeyGet(), newKeyPut()},
	}
}

func newKeyGet() *cli.Command {
	var f coordinationFlags
	return &cli.Command{
		Name: "get", ArgsUsage: "KEY", Usage: "Print a key's value and revision", Flags: f.callFlags(),
		Action: f.action(1, func(ctx context.Context, c *client.Client, args []string) error {
			value, revision, err := c.Get(ctx, args[0])
			if err != nil {
				return err
			}
			return f.show(keyResult{args[0], value, revision}, fmt.Sprintf("%d %s", revision, value))
		}),
	}
}

func newKeyPut() *cli.Command {
	var f coordinationFlags
	var ifRevision int64
	flags := append(f.callFlags(), &cli.Int64Flag{
		Name: "if-revision", Value: -1, Destination: &ifRevision,
		Usage: "set the key only if it has this revision; 0 requires that it does not exist, -1 sets no condition",
	})
	return &cli.Command{
		Name: "put", ArgsUsage: "KEY VALUE", Usage: "Set a key to a new, unique value and print its revision", Flags: flags,
		Action: f.action(2, func(ctx context.Context, c *client.Client, args []string) error {
			revision, err := putKey(ctx, c, args[0], args[1], ifRevision)
			if err != nil {
				return err
			}
			return f.show(keyResult{args[0], args[1], revision}, fmt.Sprintf("%d %s", revision, args[1]))
		}),
	}
}

// putKey sets a key. The put is conditional unless ifRevision is negative.
func putKey(ctx context.Context, c *client.Client, key, value string, ifRevision int64) (revision uint64, err error) {
	if ifRevision < 0 {
		return c.Put(ctx, key, value)
	}
	return c.PutIf(ctx, key, value, uint64(ifRevision))
}
