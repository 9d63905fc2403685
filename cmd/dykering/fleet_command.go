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

// fleetRequestTimeout bounds a request to the control address of a process.
const fleetRequestTimeout = 5 * time.Second

func newFleet() *cli.Command {
	var control string
	newFleetCommand := func(name, usage string, show func(out io.Writer, control string) error) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage,
			Action: action(func(c *cli.Command) error { return show(c.Root().Writer, control) }),
		}
	}
	return &cli.Command{
		Name: "fleet", Usage: "Show a running process's view of the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:9901", Usage: "control address of the process", Destination: &control},
		},
		Action: func(context.Context, *cli.Command) error {
			return errors.New("fleet: members, state or budgets is missing")
		},
		Commands: []*cli.Command{
			newFleetCommand("members", "Show the members in the view: id, state, incarnation, zone, since", showMembers),
			newFleetCommand("state", "Show the replicated facts about servers: origin, verdict, remaining time", showState),
			newFleetCommand("budgets", "Show the process's share of each quota and its lease; at a voter, also the leases of all processes", showBudgets),
		},
	}
}

// fetchFleetView requests a part of a process's view of the fleet. notFoundText is the error text for a status of 404.
func fetchFleetView[T any](control, path, notFoundText string) (result T, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+path, nil)
	if err != nil {
		return result, fmt.Errorf("fleet: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result, fmt.Errorf("fleet: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return result, errors.New("fleet: " + notFoundText)
	}
	if response.StatusCode != http.StatusOK {
		return result, fmt.Errorf("fleet: %s responded with status %s", control, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 64<<20)).Decode(&result); err != nil {
		return result, fmt.Errorf("fleet: decode the response of %s: %w", control, err)
	}
	return result, nil
}

func showState(out io.Writer, control string) error {
	type stateWithSelf struct {
		replication.State
		Self string
	}
	state, err := fetchFleetView[stateWithSelf](control, "/-/fleet/state",
		"the process replicates no state ([fleet.replication] enabled is false)")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d facts, digest %s, as %s holds them\n", len(state.Facts), state.Digest, state.Self)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "server\tword\torigin\twritten\tholds for")
	for _, f := range state.Facts {
		word := map[replica.Verdict]string{replica.Good: "good", replica.Bad: "bad"}[f.Verdict]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", f.Subject, word, f.Origin,
			time.UnixMilli(f.Stamp.Wall).UTC().Format(time.RFC3339), f.Remaining.Round(time.Second))
	}
	return table.Flush()
}

func showBudgets(out io.Writer, control string) error {
	state, err := fetchFleetView[budgets.State](control, "/-/fleet/budgets",
		"the process divides no budgets ([fleet.budgets] enabled is false)")
	if err != nil {
		return err
	}
	if state.Leased {
		fmt.Fprintf(out, "%s spends by lease %d, for %v\n", state.Self, state.Version, state.Remaining.Round(time.Millisecond))
	} else {
		fmt.Fprintf(out, "%s spends by its floor\n", state.Self)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "tenant\twhole/s\tfloor/s\tpart/s\tdemand/s")
	for _, p := range state.Shares {
		fmt.Fprintf(table, "%s\t%.1f\t%.2f\t%.2f\t%.2f\n", p.Tenant, p.Quota, p.Floor, p.Share, p.Demand)
	}
	if state.Ledger == nil {
		return table.Flush()
	}
	fmt.Fprintf(table, "\nthe ledger of the voters, led by %s\nholder\tlease\tparts/s\n", state.Leader)
	for _, holder := range slices.Sorted(maps.Keys(state.Ledger.Grants)) {
		for _, g := range state.Ledger.Grants[holder] {
			fmt.Fprintf(table, "%s\t%d\t%.2f\n", holder, g.Version, g.Shares)
		}
	}
	return table.Flush()
}

func showMembers(out io.Writer, control string) error {
	view, err := fetchFleetView[gossip.Snapshot](control, "/-/fleet",
		"the process keeps no view of the fleet ([fleet] enabled is false)")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "view %d, digest %s, health %d, as %s holds it\n", view.Number, view.Digest, view.Health, view.Self)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "id\tstate\tincarnation\tzone\tsince\taddress")
	for _, m := range view.Members {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", m.ID, m.State, m.Incarnation, m.Meta.Zone,
			m.Since.UTC().Format(time.RFC3339), m.Addr)
	}
	return table.Flush()
}
