package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"dykering/internal/controlplane"
	"dykering/internal/dataplane"
	"dykering/internal/protocol"
)

// explainTimeout bounds the request to a proxy.
const explainTimeout = 3 * time.Second

func newExplain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "Explain the placement of a model, the state of a lock, or why requests were late, refused or failed",
		Commands: []*cli.Command{newExplainModel(), newExplainLock(), newExplainRequests()},
	}
}

func newExplainModel() *cli.Command {
	var address, model string
	return &cli.Command{
		Name: "model", Usage: "Show the endpoints of a model, its demand, and the last orders for it",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "address", Usage: "internal address of the control process that holds the placement, HOST:PORT",
				Destination: &address, Required: true,
			},
			&cli.StringFlag{Name: "model", Usage: "name of the model", Destination: &model, Required: true},
		},
		Action: action(func(c *cli.Command) error {
			protocol.Register()
			explanation, err := controlplane.AskExplain(address, model)
			if err != nil {
				return err
			}
			return showExplanation(c.Root().Writer, explanation)
		}),
	}
}

func showExplanation(out io.Writer, e protocol.Explanation) error {
	fmt.Fprintf(out, "%s stands on %d endpoints\n", e.Model, len(e.Copies))
	for _, standing := range e.Copies {
		fmt.Fprintf(out, "  %s in %s, %s\n", standing.Endpoint, standing.Zone, standing.State)
	}
	if !e.Holds {
		fmt.Fprintln(out, "this control sidecar does not hold the placement: ask the holder, which `status` names, for demand and orders")
		return nil
	}
	for _, d := range e.Demand {
		fmt.Fprintf(out, "%s: %s\n", d.Service, demandText(d.ModelDemand))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ago\toperation\tmodel\tadapter\tendpoint\tto make room for\tcopies\tdemand for the model then")
	for _, d := range e.Decisions {
		fmt.Fprintf(table, "%v\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", (e.Now - d.At).Round(10*time.Millisecond), d.Operation, d.Model,
			d.Adapter, d.Endpoint, d.For, d.Copies, demandText(d.Demand))
	}
	return errors.Wrap(table.Flush(), "explain")
}

func demandText(d protocol.ModelDemand) string {
	text := fmt.Sprintf("%.2f a second, %d in flight, %d waiting, pressure %.2f", d.Rate, d.InFlight, d.Waiting, d.Pressure)
	if d.Unplaced {
		text += ", some found no endpoint"
	}
	return text
}

func newExplainRequests() *cli.Command {
	var address, id string
	return &cli.Command{
		Name: "requests", Usage: "Show the time spent in each phase by the last requests that a proxy did not answer in time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "readiness address of the proxy, HOST:PORT", Destination: &address, Required: true},
			&cli.StringFlag{Name: "request", Usage: "show only the request with this id", Destination: &id},
		},
		Action: action(func(c *cli.Command) error {
			requests, err := fetchRequestExplanations(address, id)
			if err != nil {
				return err
			}
			return showRequests(c.Root().Writer, requests)
		}),
	}
}

func fetchRequestExplanations(address, id string) ([]dataplane.RequestExplanation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	query := struct {
		Request string `url:"request,omitempty"`
	}{Request: id}
	request, err := sling.New().Get("http://" + address + "/explain").QueryStruct(query).Request()
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	var requests []dataplane.RequestExplanation
	response, err := sling.New().Do( //nolint:bodyclose // sling closes the body it has decoded
		request.WithContext(ctx), &requests, nil)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("explain: %s responded with status %d", address, response.StatusCode)
	}
	return requests, nil
}

func showRequests(out io.Writer, requests []dataplane.RequestExplanation) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "request\troute\tmodel\tendpoint\tsent\tresult\tcause\ttook ms\tfirst ms\tpause ms\tspent ms\tchosen by")
	for _, r := range requests {
		phases, err := json.Marshal(r.PhasesMs)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
		selectedBy, err := json.Marshal(r.SelectedBy)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", r.Request, r.Route, r.Model,
			r.Endpoint, r.Attempts, r.Result, r.Cause, r.TookMs, r.FirstByteMs, r.LongestPauseMs, phases, selectedBy)
	}
	return errors.Wrap(table.Flush(), "explain")
}
