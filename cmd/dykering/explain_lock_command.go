package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/controlplane"
	"dykering/internal/protocol"
)

// explainRounding is the precision of printed times.
const explainRounding = 10 * time.Millisecond

func newExplainLock() *cli.Command {
	var address, lock string
	return &cli.Command{
		Name: "lock", Usage: "Show the holder of a lock, the end of its hold, and the last refusals and takeovers",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "address", Usage: "internal address of the control process at the head of the chain, HOST:PORT",
				Destination: &address, Required: true,
			},
			&cli.StringFlag{Name: "lock", Usage: "name of the lock", Destination: &lock, Required: true},
		},
		Action: action(func(c *cli.Command) error {
			protocol.Register()
			explanation, err := controlplane.AskLockExplain(address, lock)
			if err != nil {
				return err
			}
			return showLockExplanation(c.Root().Writer, explanation)
		}),
	}
}

func showLockExplanation(out io.Writer, e protocol.LockExplanation) error {
	fmt.Fprintln(out, describeHold(e))
	if !e.IsHead {
		_, err := fmt.Fprintf(out, "this control process is not the head: ask %s for the end of the hold, refusals and takeovers\n", e.Head)
		return errors.Wrap(err, "explain")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ago\tevent\ttimes\tcaller\ttoken\theld by\twith token")
	for _, event := range e.Events {
		fmt.Fprintf(table, "%v\t%s\t%d\t%s\t%d\t%s\t%d\n", (e.Now - event.At).Round(explainRounding), event.Kind, event.Count,
			event.Caller, event.Token, event.Holder, event.HolderToken)
	}
	return errors.Wrap(table.Flush(), "explain")
}

// describeHold describes the holder of a lock and the end of its hold.
func describeHold(e protocol.LockExplanation) string {
	if !e.Held {
		return e.Lock + " is free"
	}
	hold := time.Duration(e.HoldMs) * time.Millisecond
	text := fmt.Sprintf("%s is held by %s with token %d, taken with token %d, for at most %v without a renewal", e.Lock, e.Holder,
		e.Token, e.FirstToken, hold)
	left := (e.EndsAt - e.Now).Round(explainRounding)
	switch {
	case !e.IsHead:
		return text
	case left <= 0:
		return fmt.Sprintf("%s; its time has been over for %v, the next caller gets it", text, -left)
	}
	return fmt.Sprintf("%s; free in %v unless it is renewed", text, left)
}
