package swim

import (
	"math"
	"slices"
	"time"

	"dykering/internal/fleet/membership"
)

// probe pings the next member in turn that this one holds alive or suspect.
func (f *Fleet) probe(i int) {
	m := f.members[i]
	for range len(m.order) {
		t := m.order[m.next]
		if m.next++; m.next == len(m.order) {
			m.next = 0
			f.rng.Shuffle(len(m.order), func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
		}
		if t == i || m.state[t] == membership.Dead || m.state[t] == membership.Left {
			continue
		}
		f.seq++
		m.acked[f.seq] = false
		f.send(i, t, &event{kind: deliverPing, seq: f.seq, target: uint64(i), msg: f.take(i)})
		f.at(f.s.ProbeTimeout, &event{kind: probeLate, from: i, target: uint64(t), seq: f.seq})
		f.at(f.s.ProbeInterval, &event{kind: probeEnd, from: i, target: uint64(t), seq: f.seq})
		break
	}
	if m.reconnect++; m.reconnect%5 == 0 {
		f.at(0, &event{kind: reconnectTry, from: i})
	}
}

// indirect asks some others to probe a member whose ack is late.
func (f *Fleet) indirect(i, t int, seq uint64) {
	m := f.members[i]
	if !m.working() || m.acked[seq] {
		return
	}
	for _, k := range f.pick(i, f.s.IndirectChecks, t) {
		f.send(i, k, &event{kind: deliverAsk, seq: seq, target: uint64(t)})
	}
	// memberlist's fallback: a ping over TCP at the same time, which a lost link refuses as it does packets.
	f.send(i, t, &event{kind: deliverPing, seq: seq, target: uint64(i)})
}

// pick draws up to n members that i holds alive, other than i and but.
func (f *Fleet) pick(i, n, but int) []int {
	m := f.members[i]
	var got []int
	for tries := 0; len(got) < n && tries < 4*n+8; tries++ {
		k := f.rng.IntN(len(f.members))
		if k != i && k != but && m.state[k] == membership.Alive && !slices.Contains(got, k) {
			got = append(got, k)
		}
	}
	return got
}

// suspect starts a suspicion of t by i.
func (f *Fleet) suspect(i, t int) {
	m := f.members[i]
	if m.state[t] != membership.Alive {
		return
	}
	f.learn(i, update{t, m.incs[t], membership.Suspect})
}

// suspicion is how long i's suspicion of t lasts now: memberlist's formula, from the longest down to the shortest
// as independent confirmations come.
func (f *Fleet) suspicion(i, t int) time.Duration {
	n := float64(len(f.members))
	least := time.Duration(float64(f.s.SuspicionMult) * math.Max(1, math.Log10(n)) * float64(f.s.ProbeInterval))
	most := time.Duration(f.s.SuspicionMaxMult) * least
	k := float64(f.s.SuspicionMult - 2)
	c := float64(f.members[i].confirms[t])
	if k < 1 {
		return least
	}
	frac := math.Log(c+1) / math.Log(k+1)
	return max(least, most-time.Duration(frac*float64(most-least)))
}
