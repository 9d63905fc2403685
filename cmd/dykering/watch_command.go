package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/client"
)

// watchCommand holds the flags of the watch command.
type watchCommand struct {
	coordinationFlags
	after uint64
	count uint64
}

func newWatch() *cli.Command {
	var w watchCommand
	flags := append(
		w.flags(),
		&cli.Uint64Flag{Name: "after", Usage: "print puts with a revision above this one; 0 starts at the current revision", Destination: &w.after},
		&cli.Uint64Flag{Name: "count", Usage: "exit after this number of puts; 0 for no limit", Destination: &w.count},
	)
	return &cli.Command{
		Name: "watch", ArgsUsage: "GROUP", Usage: "Print the puts to the keys of a group of the coordination service, such as g1.",
		Description: "Each put is one line with revision, key and value. If puts were missed, the command prints a message and " +
			"continues; with --after it fails.",
		Flags: flags, Action: w.action(1, w.follow),
	}
}

// follow prints events until it has printed count of them, or until the watch fails.
func (w *watchCommand) follow(ctx context.Context, c *client.Client, args []string) error {
	watch, err := c.Watch(args[0], w.after)
	if err != nil {
		return err
	}
	for shown := uint64(0); w.count == 0 || shown < w.count; {
		event, err := watch.Next(ctx)
		if errors.Is(err, client.ErrHistoryGone) && w.after == 0 {
			fmt.Fprintf(w.errOut, "dykering: puts up to revision %d may be missing\n", watch.Revision())
			continue
		}
		if err != nil {
			return err
		}
		result := keyResult{event.Key, event.Value, event.Revision}
		if err := w.show(result, fmt.Sprintf("%d %s %s", event.Revision, event.Key, event.Value)); err != nil {
			return err
		}
		shown++
	}
	return nil
}
