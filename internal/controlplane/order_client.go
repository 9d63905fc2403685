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

// orderTimeout bounds each request to an endpoint. A new lease holder waits for it as well; see timing.newHolderDelay.
const orderTimeout = 500 * time.Millisecond

// orderIdleTimeout closes the connection to an endpoint that gets no more orders.
const orderIdleTimeout = 3 * time.Second

// endpointReport is the body of GET /report.
type endpointReport struct {
	Models   []sessions.LoadedModel `json:"models"`
	Busy     bool                   `json:"busy"`     // an order is in flight
	Sequence uint64                 `json:"sequence"` // rises with each accepted order
}

// orderRequest is the body of POST /order.
type orderRequest struct {
	Operation    placement.Operation `json:"operation"`
	Model        string              `json:"model"`
	Adapter      string              `json:"adapter,omitempty"`
	IfRevision   uint64              `json:"if_revision"`
	LeaseHolder  string              `json:"lease_holder"`
	FencingToken uint64              `json:"fencing_token"`
}

// orderClient sends orders and report requests to endpoints.
type orderClient struct{ http *http.Client }

func newOrderClient() *orderClient {
	transport := &http.Transport{DialContext: dialAbortive, MaxIdleConnsPerHost: 1, IdleConnTimeout: orderIdleTimeout}
	return &orderClient{http: &http.Client{Timeout: orderTimeout, Transport: transport}}
}

// dialAbortive opens a connection that is reset when it is closed, which discards the data in its buffers. An order
// whose request has timed out must not reach its endpoint later, when another member may hold the lease.
func dialAbortive(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "set SO_LINGER")
		}
	}
	return conn, nil
}

// report fetches an endpoint's report.
func (c *orderClient) report(ctx context.Context, address string) (endpointReport, error) {
	request, err := sling.New().Get("http://" + address + "/report").Request()
	if err != nil {
		return endpointReport{}, errors.Wrapf(err, "create report request to %s", address)
	}
	var report endpointReport
	//nolint:bodyclose // sling closes the body once it has decoded it
	response, err := sling.New().Client(c.http).Do(request.WithContext(ctx), &report, nil)
	if err != nil {
		return endpointReport{}, errors.Wrapf(err, "fetch report of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return endpointReport{}, errors.Errorf("fetch report of %s: status %d", address, response.StatusCode)
	}
	return report, nil
}

// order posts an order to an endpoint and returns the status of the response.
func (c *orderClient) order(ctx context.Context, address string, body orderRequest) (status int, err error) {
	request, err := sling.New().Post("http://" + address + "/order").BodyJSON(body).Request()
	if err != nil {
		return 0, errors.Wrapf(err, "create order request to %s", address)
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return 0, errors.Wrapf(err, "post order to %s", address)
	}
	response.Body.Close()
	return response.StatusCode, nil
}
