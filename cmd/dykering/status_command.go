package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dykering/internal/controlplane"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

func newStatus() *cli.Command {
	var address string
	return &cli.Command{
		Name: "status", Usage: "Show the status of the system as seen by a control process: view, chain, holder, sidecars, endpoints",
		Flags: []cli.Flag{&cli.StringFlag{Name: "address", Usage: "internal address of the control process, HOST:PORT", Destination: &address, Required: true}},
		Action: action(func(c *cli.Command) error {
			protocol.Register()
			status, err := controlplane.AskStatus(address)
			if err != nil {
				return err
			}
			return showStatus(c.Root().Writer, status)
		}),
	}
}

func showStatus(out io.Writer, s protocol.Status) error {
	fmt.Fprintf(out, "%s, view %d%s, configuration %d, entry %d of %d committed, disk behind by %v\n", s.Self.ID, s.View.Number,
		describeViewState(s), s.Version, s.Committed, s.Seq, s.DiskBehind)
	fmt.Fprintf(out, "the placement is held by %s with token %d%s\n", s.View.Holder, s.View.Token, describePlacementHolder(s))
	if s.Tolerance != nil {
		fmt.Fprintln(out, describeTolerance(s.Tolerance))
	}
	if s.Coordination != nil {
		fmt.Fprintln(out, describeCoordination(s.Coordination))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\treachable\tin the chain")
	for _, m := range s.Members {
		fmt.Fprintf(table, "%s\t%v\t%v\n", m.ID, m.Reachable, m.InChain)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, state := range []sessions.State{sessions.Ready, sessions.Expired, sessions.Draining, sessions.Departed} {
		if n := s.Endpoints[state]; n > 0 {
			fmt.Fprintf(out, "endpoints %s: %d\n", state, n)
		}
	}
	slices.SortFunc(s.Subscribers, func(a, b protocol.SubscriberStatus) int { return strings.Compare(a.Name, b.Name) })
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "sidecar\tchanges behind\trevision")
	for _, sub := range s.Subscribers {
		fmt.Fprintf(table, "%s\t%d\t%d\n", sub.Name, sub.Behind, sub.Ack.Revision)
	}
	return table.Flush()
}

// describeViewState describes why the view is not in force. It returns "" if it is.
func describeViewState(s protocol.Status) string {
	switch {
	case s.Sealed:
		return " (the next one is being agreed on)"
	case !s.InForce:
		return " (no majority confirms it)"
	}
	return ""
}

// describePlacementHolder marks the status of the process that holds the placement.
func describePlacementHolder(s protocol.Status) string {
	if s.Holds {
		return ", which is this one"
	}
	return ""
}

// describeTolerance describes how many more members may fail, and which members reduce that number.
func describeTolerance(tolerance *protocol.Tolerance) string {
	if tolerance.Losses > 0 {
		return fmt.Sprintf("further losses that can be borne: %d", tolerance.Losses)
	}
	var causes []string
	for _, id := range tolerance.Leaving {
		causes = append(causes, fmt.Sprintf("%s leaves", id))
	}
	for _, id := range tolerance.Unreachable {
		causes = append(causes, fmt.Sprintf("%s cannot be reached", id))
	}
	text := "no further loss can be borne"
	if tolerance.Losses < 0 {
		text = "there is no majority without these"
	}
	if len(causes) == 0 {
		return text
	}
	return text + ": " + strings.Join(causes, ", ")
}

func describeCoordination(c *protocol.CoordinationStatus) string {
	return fmt.Sprintf("coordination: %d locks held, %d numbers, %d cells in %d groups, %d puts kept, %d bytes, %d watches wait",
		c.Locks, c.Numbers, c.Cells, c.Groups, c.Events, c.Bytes, c.Watches)
}
