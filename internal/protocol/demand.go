package protocol

import "dykering/internal/placement"

// DemandReport is what a proxy has been asked for since its last report, and its requests in flight. A proxy sends it on
// its stream several times a second, and at once when a request has found no endpoint. The control process that
// receives it keeps the loads and forwards the demands to the lease holder of the placement. If a report is lost,
// its requests are missing from the estimated rates; the figures in flight are replaced by the next report.
type DemandReport struct {
	From    string // node_name of the proxy
	Demands []Demand
	Loads   []EndpointLoad // all endpoints that the proxy has requests at, or has had since the last report
}

// Demand is the demand for one model, or one adapter of a model, since the last report.
type Demand struct {
	Service  string
	Model    string
	Adapter  string  // empty for the model itself
	Requests int     // that have arrived
	Tokens   float64 // estimated work of these requests, in tokens
	Unplaced int     // requests that found no endpoint with the model or adapter
	InFlight int     // requests in flight now
	Waiting  int     // of those in flight, the ones whose response has not begun
}

// EndpointLoad is the requests at one endpoint: of one proxy in a DemandReport, of several in an EndpointLoadSync and an
// Update.
type EndpointLoad struct {
	ID       string // of the endpoint
	InFlight int
	Waiting  int // of those in flight, the ones whose response has not begun
	// Good and Failed count the requests that have ended: in a DemandReport those since the last one, elsewhere those of
	// all proxies, with a weight that decays with their age.
	Good   float64
	Failed float64
}

// EndpointLoadSync informs another control process of the loads that the proxies which follow a stream of the sender
// have reported, so that each control process can stream the sums over all proxies. It is broadcast several times a
// second. If it is lost, the last one remains valid until it expires; the next one replaces it.
type EndpointLoadSync struct {
	From  string // address of the sender
	Loads []EndpointLoad
}

// LoadLedgerSync informs another control process of the model loads that the lease holder of the placement has started
// within the window of the store's rate limit. The lease holder broadcasts it several times a second. If the last ones
// are lost before the lease changes hands, the successor assumes that the loads that it has not been informed of were as
// many as the rate limit permits, and starts fewer itself for one window.
type LoadLedgerSync struct {
	Token uint64   // fencing token of the lease holder; the receiver ignores a lower one than it has seen
	Ages  []uint16 // time since each load started, in units of 10 ms
	// Orders are the orders in flight. If they are lost, the successor meets endpoints that are busy, and asks them.
	Orders []OrderInFlight
}

// OrderInFlight is an order to an endpoint whose end the lease holder does not know yet. Its fields are those of
// placement.Order.
type OrderInFlight struct {
	Endpoint       string // ID
	Operation      placement.Operation
	Model          string
	Adapter        string // empty for the model itself
	FreesMemoryFor string
}
