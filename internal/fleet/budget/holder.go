package budget

import "time"

// Holder is a broker's part: its floor, and the lease that it spends by.
type Holder struct {
	id     string
	weight float64
	terms  Terms
	floor  []float64
	seq    uint64
	asked  map[uint64]time.Duration // by seq: when it was asked, by this clock
	uses   uint64                   // version of the newest grant taken
	parts  []float64
	from   time.Duration // of the lease: when it was asked for
}

// asksKept bounds the requests whose answers are still taken.
const asksKept = 64

// NewHolder makes a holder with nothing but its floor. The id is a process's own: another process is another holder.
func NewHolder(id string, weight float64, terms Terms, floor []float64) *Holder {
	return &Holder{
		id: id, weight: weight, terms: terms, floor: floor, asked: map[uint64]time.Duration{},
		parts: make([]float64, len(floor)),
	}
}

// Ask is a request for the next lease, by what is asked for here: the floor is had already.
func (h *Holder) Ask(now time.Duration, demand []float64) Request {
	h.seq++
	beyond := make([]float64, len(h.floor))
	for i := range beyond {
		beyond[i] = max(demand[i]-h.floor[i], 0)
	}
	h.asked[h.seq] = now
	for seq, at := range h.asked {
		if now-at >= h.terms.Length || h.seq-seq >= asksKept {
			delete(h.asked, seq) // what comes for it has ended
		}
	}
	return Request{Holder: h.id, Weight: h.weight, Seq: h.seq, Uses: h.uses, Demand: beyond}
}

// Granted takes a grant, and tells whether it counts from now on: it has to answer one of this holder's requests, and to
// be newer than the one that it spends by.
func (h *Holder) Granted(now time.Duration, g Grant) bool {
	at, known := h.asked[g.Seq]
	if !known || g.Holder != h.id || g.Version <= h.uses || len(g.Parts) != len(h.floor) || now-at >= h.terms.Length {
		return false
	}
	h.uses, h.parts, h.from = g.Version, g.Parts, at
	return true
}

// May is what it may spend now, and whether that holds a lease.
func (h *Holder) May(now time.Duration) (parts []float64, leased bool) {
	parts = append(parts, h.floor...)
	if h.uses == 0 || now-h.from >= h.terms.Length {
		return parts, false
	}
	for i, p := range h.parts {
		parts[i] += p
	}
	return parts, true
}

// Left is how long its lease still holds.
func (h *Holder) Left(now time.Duration) time.Duration {
	if _, leased := h.May(now); !leased {
		return 0
	}
	return h.terms.Length - (now - h.from)
}

// Uses is the version of the newest grant that it has taken.
func (h *Holder) Uses() uint64 { return h.uses }

// Demand is what a holder is asked for, smoothed: over as many measures as there were, and later over the last so many.
// A broker of a large fleet is asked for less than once in a measure; parts that followed that noise would keep much of a
// pool charged twice, by the grants before and after.
type Demand struct {
	rates []float64
	last  []float64
	at    time.Duration
	n     float64
}

// demandOver is over how many measures demand is smoothed.
const demandOver = 16

// Measure takes in what was asked for since the beginning, of each whole.
func (d *Demand) Measure(now time.Duration, total []float64) {
	if dt := (now - d.at).Seconds(); d.last != nil && dt > 0 {
		d.n = min(d.n+1, demandOver)
		for i := range total {
			d.rates[i] += ((total[i]-d.last[i])/dt - d.rates[i]) / d.n
		}
	}
	if d.last == nil {
		d.rates = make([]float64, len(total))
	}
	d.last, d.at = append(d.last[:0], total...), now
}

// Rates are what is asked for a second.
func (d *Demand) Rates() []float64 { return append([]float64(nil), d.rates...) }
