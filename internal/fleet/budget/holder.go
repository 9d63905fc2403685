package budget

import "time"

// Holder is the broker's side of the leases. It holds the broker's floor and its current lease.
type Holder struct {
	id          string
	weight      float64
	terms       Terms
	floor       []float64
	lastSeq     uint64
	requestedAt map[uint64]time.Duration // times of open requests by sequence number, on this holder's clock
	version     uint64                   // version of the newest accepted grant; 0 if none was accepted
	shares      []float64
	leaseStart  time.Duration // leaseStart is the time of the request that the lease answers.
}

// maxOpenRequests bounds the number of requests whose grants are still accepted.
const maxOpenRequests = 64

// NewHolder returns a holder that has only its floor. The ID identifies a process; a restarted process is a new holder.
func NewHolder(id string, weight float64, terms Terms, floor []float64) *Holder {
	return &Holder{
		id: id, weight: weight, terms: terms, floor: floor, requestedAt: map[uint64]time.Duration{},
		shares: make([]float64, len(floor)),
	}
}

// NextRequest returns the request for the next lease. The request carries the demand beyond the floor.
func (h *Holder) NextRequest(now time.Duration, demand []float64) Request {
	h.lastSeq++
	beyond := make([]float64, len(h.floor))
	for i := range beyond {
		beyond[i] = max(demand[i]-h.floor[i], 0)
	}
	h.requestedAt[h.lastSeq] = now
	for seq, at := range h.requestedAt {
		if now-at >= h.terms.LeaseDuration || h.lastSeq-seq >= maxOpenRequests {
			delete(h.requestedAt, seq) // a lease for this request would have ended
		}
	}
	return Request{Holder: h.id, Weight: h.weight, Seq: h.lastSeq, AcceptedVersion: h.version, Demand: beyond}
}

// Accept replaces the current lease by a grant and reports whether it did. The grant has to answer an open request of
// this holder and to be newer than the current lease.
func (h *Holder) Accept(now time.Duration, grant Grant) bool {
	requestedAt, isOpen := h.requestedAt[grant.Seq]
	answersRequest := isOpen && grant.Holder == h.id && len(grant.Shares) == len(h.floor)
	if !answersRequest || grant.Version <= h.version || now-requestedAt >= h.terms.LeaseDuration {
		return false
	}
	h.version, h.shares, h.leaseStart = grant.Version, grant.Shares, requestedAt
	return true
}

// Allowance returns the rates that the holder may spend now, in requests per second including the floor. leased reports
// whether a lease is in force.
func (h *Holder) Allowance(now time.Duration) (rates []float64, leased bool) {
	rates = append(rates, h.floor...)
	if h.version == 0 || now-h.leaseStart >= h.terms.LeaseDuration {
		return rates, false
	}
	for i, share := range h.shares {
		rates[i] += share
	}
	return rates, true
}

// Remaining returns the remaining time of the lease; 0 if none is in force.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if _, leased := h.Allowance(now); !leased {
		return 0
	}
	return h.terms.LeaseDuration - (now - h.leaseStart)
}

// Version returns the version of the newest accepted grant; 0 if none was accepted.
func (h *Holder) Version() uint64 { return h.version }
