package protocol

import "dykering/internal/placement"

// DemandReport has the demand for models at a proxy since its last report, and the proxy's requests in flight. A proxy sends
// it on its stream several times a second, and immediately if a request has found no endpoint. The receiving control process
// keeps the loads and forwards the demands to the lease holder of the placement. If a report is lost, its requests are missing
// from the estimated rates; the next report replaces the numbers of requests in flight.
type DemandReport struct {
	From    string // node_name of the proxy
	Demands []Demand
	Loads   []EndpointLoad // endpoints with requests of the proxy in flight, or ended since the last report
}

// Demand is the demand for one model, or one adapter of a model, since the last report.
type Demand struct {
	Service  string
	Model    string
	Adapter  string  // empty for the model itself
	Requests int     // requests that have arrived
	Tokens   float64 // estimated work of these requests, in units of the work for one prompt token
	Unplaced int     // requests that found no endpoint with the model or adapter
	InFlight int     // requests in flight now
	Waiting  int     // requests in flight whose response has not begun
}

// EndpointLoad is the load of one endpoint. In a DemandReport it counts the requests of one proxy, in an EndpointLoadSync
// those of the proxies that are subscribed to the sender, and in an Update those of all proxies.
type EndpointLoad struct {
	ID       string // ID of the endpoint
	InFlight int    // requests in flight
	Waiting  int    // requests in flight whose response has not begun
	// Good and Failed count the requests that have ended with a success and with a failure. In a DemandReport they cover the
	// time since the last report. Elsewhere each request has a weight that decays with its age.
	Good   float64
	Failed float64
}

// EndpointLoadSync informs another control process of the loads that the sender's subscribed proxies have reported, so that
// each control process can send the sums over all proxies. It is broadcast several times a second. If it is lost, the last
// one remains valid until it expires, and the next one replaces it.
type EndpointLoadSync struct {
	From  string // address of the sender
	Loads []EndpointLoad
}

// LoadLedgerSync informs another control process of the model loads that the lease holder of the placement has started
// within the window of the weight store's rate limit. The lease holder broadcasts it several times a second. If the last
// messages are lost before the lease changes hands, the successor assumes as many unreported loads as the rate limit permits,
// and starts fewer loads for one window.
type LoadLedgerSync struct {
	Token uint64   // fencing token of the lease holder; the receiver ignores messages with a lower token than it has seen
	Ages  []uint16 // time since each load started, in units of 10 ms
	// Orders are the orders in flight. If they are lost, the successor finds these endpoints busy and queries them.
	Orders []OrderInFlight
}

// OrderInFlight is an order to an endpoint whose completion the lease holder does not know yet. Its fields are those of
// placement.Order.
type OrderInFlight struct {
	Endpoint       string // ID of the endpoint
	Operation      placement.Operation
	Model          string
	Adapter        string // empty for the model itself
	FreesMemoryFor string // model that an unload of a model frees memory for; empty otherwise
}
