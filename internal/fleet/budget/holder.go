package budget

import "time"

// Holder is a broker's side of its leases: its floor, and the lease that it spends by.
type Holder struct {
	id         string
	weight     float64
	terms      Terms
	floor      []float64
	lastSeq    uint64
	askedAt    map[uint64]time.Duration // by the sequence number of a request, by this holder's clock
	version    uint64                   // version of the newest accepted grant; 0 for none
	shares     []float64
	leaseStart time.Duration // from is when the lease was asked for: it counts from then.
}

// maxOpenRequests bounds the requests whose answers are still accepted.
const maxOpenRequests = 64

// NewHolder returns a holder that has its floor only. The ID is that of a process: another process is another holder.
func NewHolder(id string, weight float64, terms Terms, floor []float64) *Holder {
	return &Holder{
		id: id, weight: weight, terms: terms, floor: floor, askedAt: map[uint64]time.Duration{},
		shares: make([]float64, len(floor)),
	}
}

// NextRequest returns the request for the next lease, with the demand beyond the floor.
func (h *Holder) NextRequest(now time.Duration, demand []float64) Request {
	h.lastSeq++
	beyond := make([]float64, len(h.floor))
	for i := range beyond {
		beyond[i] = max(demand[i]-h.floor[i], 0)
	}
	h.askedAt[h.lastSeq] = now
	for seq, at := range h.askedAt {
		if now-at >= h.terms.LeaseDuration || h.lastSeq-seq >= maxOpenRequests {
			delete(h.askedAt, seq) // a lease for it would have ended
		}
	}
	return Request{Holder: h.id, Weight: h.weight, Seq: h.lastSeq, AcceptedVersion: h.version, Demand: beyond}
}

// Accept reports whether a grant holds from now on. It has to answer a request of this holder, and to be newer than the
// one that it spends by.
func (h *Holder) Accept(now time.Duration, grant Grant) bool {
	askedAt, known := h.askedAt[grant.Seq]
	isOurs := known && grant.Holder == h.id && len(grant.Shares) == len(h.floor)
	if !isOurs || grant.Version <= h.version || now-askedAt >= h.terms.LeaseDuration {
		return false
	}
	h.version, h.shares, h.leaseStart = grant.Version, grant.Shares, askedAt
	return true
}

// Allowance returns what the holder may spend now, floor included, in requests per second, and whether that rests on a
// lease.
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

// Remaining returns how long the lease still holds; 0 without one.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if _, leased := h.Allowance(now); !leased {
		return 0
	}
	return h.terms.LeaseDuration - (now - h.leaseStart)
}

// Version returns the version of the newest accepted grant; 0 for none.
func (h *Holder) Version() uint64 { return h.version }
