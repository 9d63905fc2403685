package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"dykering/client"
	"dykering/internal/commandline"
)

// keyResult is what a command for a key prints as JSON.
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
		Usage: "only if the key has this revision, 0 if it must not exist; -1 for any",
	})
	return &cli.Command{
		Name: "put", ArgsUsage: "KEY VALUE", Usage: "Set a key to a value that it never had, and print its revision", Flags: flags,
		Action: f.action(2, func(ctx context.Context, c *client.Client, args []string) error {
			revision, err := putKey(ctx, c, args[0], args[1], ifRevision)
			if err != nil {
				return err
			}
			return f.show(keyResult{args[0], args[1], revision}, fmt.Sprintf("%d %s", revision, args[1]))
		}),
	}
}

// putKey sets a key, on a condition unless the required revision is negative.
func putKey(ctx context.Context, c *client.Client, key, value string, ifRevision int64) (revision uint64, err error) {
	if ifRevision < 0 {
		return c.Put(ctx, key, value)
	}
	return c.PutIf(ctx, key, value, uint64(ifRevision))
}
