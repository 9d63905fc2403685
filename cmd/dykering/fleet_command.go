package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/fleet/budgets"
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/replica"
	"dykering/internal/fleet/replication"
)

// askTimeout bounds a call to the second address.
const askTimeout = 5 * time.Second

func newFleet() *cli.Command {
	var control string
	look := func(name, usage string, show func(out io.Writer, control string) error) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage,
			Action: action(func(c *cli.Command) error { return show(c.Root().Writer, control) }),
		}
	}
	return &cli.Command{
		Name: "fleet", Usage: "Look at the view of the fleet of a running process",
		Flags: []cli.Flag{&cli.StringFlag{Name: "control", Value: "127.0.0.1:9901", Usage: "the process's second address", Destination: &control}},
		Action: func(context.Context, *cli.Command) error {
			return errors.New("fleet: members, state or budgets is missing")
		},
		Commands: []*cli.Command{
			look("members", "The members that a process holds: id, state, incarnation, zone, since", showMembers),
			look("state", "The facts that a process holds of servers: origin, what it says, how much longer it holds", showState),
			look("budgets", "What a process may spend of each whole, by which lease; at a voter, what all may", showBudgets),
		},
	}
}

// askFleet asks a process for a part of what it keeps of the fleet.
func askFleet[T any](control, path, without string) (got T, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+path, nil)
	if err != nil {
		return got, fmt.Errorf("fleet: %w", err)
	}
	res, err := http.DefaultClient.Do(request)
	if err != nil {
		return got, fmt.Errorf("fleet: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return got, errors.New("fleet: " + without)
	}
	if res.StatusCode != http.StatusOK {
		return got, fmt.Errorf("fleet: %s answers %s", control, res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, 64<<20)).Decode(&got); err != nil {
		return got, fmt.Errorf("fleet: what %s answers: %w", control, err)
	}
	return got, nil
}

func showState(out io.Writer, control string) error {
	type shown struct {
		replication.State
		Self string
	}
	s, err := askFleet[shown](control, "/-/fleet/state", "the process replicates no state ([fleet.replication] enabled is false)")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d facts, digest %s, as %s holds them\n", len(s.Facts), s.Digest, s.Self)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tword\torigin\twritten\tholds for")
	for _, f := range s.Facts {
		word := map[replica.Verdict]string{replica.Good: "good", replica.Bad: "bad"}[f.Verdict]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", f.Subject, word, f.Origin,
			time.UnixMilli(f.Stamp.Wall).UTC().Format(time.RFC3339), f.Remaining.Round(time.Second))
	}
	return t.Flush()
}

func showBudgets(out io.Writer, control string) error {
	b, err := askFleet[budgets.State](control, "/-/fleet/budgets", "the process divides no budgets ([fleet.budgets] enabled is false)")
	if err != nil {
		return err
	}
	if b.Leased {
		fmt.Fprintf(out, "%s spends by lease %d, for %v\n", b.Self, b.Version, b.Remaining.Round(time.Millisecond))
	} else {
		fmt.Fprintf(out, "%s spends by its floor\n", b.Self)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "tenant\twhole/s\tfloor/s\tpart/s\tdemand/s")
	for _, p := range b.Shares {
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.2f\t%.2f\n", p.Tenant, p.Quota, p.Floor, p.Share, p.Demand)
	}
	if b.Ledger == nil {
		return t.Flush()
	}
	fmt.Fprintf(t, "\nthe ledger of the voters, led by %s\nholder\tlease\tparts/s\n", b.Leader)
	for _, holder := range slices.Sorted(maps.Keys(b.Ledger.Grants)) {
		for _, g := range b.Ledger.Grants[holder] {
			fmt.Fprintf(t, "%s\t%d\t%.2f\n", holder, g.Version, g.Shares)
		}
	}
	return t.Flush()
}

func showMembers(out io.Writer, control string) error {
	view, err := askFleet[gossip.Snapshot](control, "/-/fleet", "the process keeps no view of the fleet ([fleet] enabled is false)")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "view %d, digest %s, health %d, as %s holds it\n", view.Number, view.Digest, view.Health, view.Self)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "id\tstate\tincarnation\tzone\tsince\taddress")
	for _, m := range view.Members {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", m.ID, m.State, m.Incarnation, m.Meta.Zone,
			m.Since.UTC().Format(time.RFC3339), m.Addr)
	}
	return t.Flush()
}
