package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dykering/internal/fleet/gossip"
)

// askTimeout bounds a call to the second address.
const askTimeout = 5 * time.Second

func newFleet() *cobra.Command {
	fleet := &cobra.Command{Use: "fleet", Short: "Look at the view of the fleet of a running process", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("fleet: members is missing") }}
	var control string
	members := &cobra.Command{Use: "members", Short: "The members that a process holds: id, state, incarnation, zone, since",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := showMembers(c.OutOrStdout(), control); err != nil {
				return faulty{err}
			}
			return nil
		}}
	members.Flags().StringVar(&control, "control", "127.0.0.1:9901", "the process's second address")
	fleet.AddCommand(members)
	return fleet
}

func showMembers(out io.Writer, control string) error {
	client := http.Client{Timeout: askTimeout}
	res, err := client.Get("http://" + control + "/-/fleet")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return errors.New("fleet: the process keeps no view of the fleet ([fleet] enabled is false)")
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("fleet: %s answers %s", control, res.Status)
	}
	var view gossip.Snapshot
	if err := json.NewDecoder(io.LimitReader(res.Body, 64<<20)).Decode(&view); err != nil {
		return fmt.Errorf("fleet: what %s answers: %w", control, err)
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
