package controlplane

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"dykering/internal/placement"
	"dykering/internal/sessions"
)

const (
	orderTimeout = 500 * time.Millisecond
	// reportLag is how old an endpoint's report may be.
	maxReportAge = 300 * time.Millisecond
	// adapterLoad is how long an adapter takes to load, and unloadWait how often the end of an order is looked for.
	adapterLoadTime        = 25 * time.Millisecond
	completionPollInterval = 100 * time.Millisecond
	// orderPause is how long an endpoint is left alone after an order that it did not take.
	failedOrderBackoff = 300 * time.Millisecond
	// conflictTries is how often an order is given again that another one stands in the way of.
	maxConflictRetries = 5
	conflictBackoff    = 60 * time.Millisecond
	// orderPatience is how much longer than expected an order may take.
	orderTimeoutMargin = 5 * time.Second
)

// endpointReport is what an endpoint tells on GET /report.
type endpointReport struct {
	Models   []sessions.LoadedModel `json:"models"`
	Busy     bool                   `json:"busy"`
	Sequence uint64                 `json:"sequence"`
}

// orderBody is the body of POST /order.
type orderRequest struct {
	Operation    placement.Operation `json:"operation"`
	Model        string              `json:"model"`
	Adapter      string              `json:"adapter,omitempty"`
	IfRevision   uint64              `json:"if_revision"`
	LeaseHolder  string              `json:"lease_holder"`
	FencingToken uint64              `json:"fencing_token"`
}

// orderClient calls endpoints.
type orderClient struct{ http *http.Client }

func newOrderClient() *orderClient {
	return &orderClient{http: &http.Client{Timeout: orderTimeout,
		Transport: &http.Transport{DialContext: dialAbortive, MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}}
}

// dialAbortive makes a connection that is reset when it is closed: an order that was given up is not delivered late.
func dialAbortive(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "linger")
		}
	}
	return conn, nil
}

// report asks an endpoint what it holds.
func (c *orderClient) report(ctx context.Context, address string) (endpointReport, error) {
	request, err := sling.New().Get("http://" + address + "/report").Request()
	if err != nil {
		return endpointReport{}, errors.Wrap(err, "report")
	}
	var report endpointReport
	response, err := sling.New().Client(c.http).Do(request.WithContext(ctx), &report, nil)
	if err != nil {
		return endpointReport{}, errors.Wrap(err, "report")
	}
	if response.StatusCode != http.StatusOK {
		return endpointReport{}, errors.Errorf("report: status %d", response.StatusCode)
	}
	return report, nil
}

// order gives an endpoint an order, and tells the status of the answer.
func (c *orderClient) order(ctx context.Context, address string, body orderRequest) (status int, err error) {
	request, err := sling.New().Post("http://" + address + "/order").BodyJSON(body).Request()
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// orderResult is how an order ended.
type orderResult int

const (
	orderDone    orderResult = iota
	orderRefused             // it was not taken
	orderNotSent             // it was not sent
	orderUnknown             // it may have been taken
)

// endpointState is what the holder knows an endpoint to hold: its report, and the orders that it has taken since.
type endpointState struct {
	known     bool
	sequence  uint64
	models    map[string][]string
	notBefore time.Duration // a report from before this time does not count
}

func modelsOf(loaded []sessions.LoadedModel) map[string][]string {
	models := map[string][]string{}
	for _, m := range loaded {
		models[m.Name] = append([]string{}, m.Adapters...)
	}
	return models
}
