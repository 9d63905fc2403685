package swim

import (
	"math"
	"slices"
	"time"

	"dykering/internal/fleet/membership"
)

// probe pings the next member in probe order that member i considers alive or suspect.
func (f *Fleet) probe(i int) {
	m := f.members[i]
	for range len(m.order) {
		t := m.order[m.next]
		if m.next++; m.next == len(m.order) {
			m.next = 0
			f.random.Shuffle(len(m.order), func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
		}
		if t == i || m.state[t] == membership.Dead || m.state[t] == membership.Left {
			continue
		}
		f.lastSequence++
		m.acknowledged[f.lastSequence] = false
		f.send(i, t, &event{kind: deliverPing, seq: f.lastSequence, target: uint64(i), updates: f.nextUpdates(i)})
		f.schedule(f.settings.ProbeTimeout, &event{kind: probeTimedOut, from: i, target: uint64(t), seq: f.lastSequence})
		f.schedule(f.settings.ProbeInterval, &event{kind: probeIntervalEnded, from: i, target: uint64(t), seq: f.lastSequence})
		break
	}
	if m.reconnect++; m.reconnect%5 == 0 {
		f.schedule(0, &event{kind: reconnectTick, from: i})
	}
}

// probeIndirectly asks some other members to probe member t, whose ack is late.
func (f *Fleet) probeIndirectly(i, t int, seq uint64) {
	m := f.members[i]
	if !m.working() || m.acknowledged[seq] {
		return
	}
	for _, k := range f.choosePeers(i, f.settings.IndirectChecks, t) {
		f.send(i, k, &event{kind: deliverPingRequest, seq: seq, target: uint64(t)})
	}
	// memberlist also sends a fallback ping over TCP. The model sends it as a second ping, which message loss and
	// partitions affect in the same way as a packet.
	f.send(i, t, &event{kind: deliverPing, seq: seq, target: uint64(i)})
}

// choosePeers returns up to n random members that member i considers alive, except i and the excluded one.
func (f *Fleet) choosePeers(i, n, exclude int) []int {
	m := f.members[i]
	var peers []int
	for tries := 0; len(peers) < n && tries < 4*n+8; tries++ {
		k := f.random.IntN(len(f.members))
		if k != i && k != exclude && m.state[k] == membership.Alive && !slices.Contains(peers, k) {
			peers = append(peers, k)
		}
	}
	return peers
}

// suspect starts a suspicion of member t by member i.
func (f *Fleet) suspect(i, t int) {
	m := f.members[i]
	if m.state[t] != membership.Alive {
		return
	}
	f.apply(i, update{t, m.incarnations[t], membership.Suspect})
}

// suspicion returns the present duration of member i's suspicion of member t. It follows memberlist's formula,
// which shortens the suspicion from the longest to the shortest duration with each independent confirmation.
func (f *Fleet) suspicion(i, t int) time.Duration {
	n := float64(len(f.members))
	shortest := time.Duration(float64(f.settings.SuspicionMult) * math.Max(1, math.Log10(n)) * float64(f.settings.ProbeInterval))
	longest := time.Duration(f.settings.SuspicionMaxMult) * shortest
	k := float64(f.settings.SuspicionMult - 2)
	c := float64(f.members[i].confirmations[t])
	if k < 1 {
		return shortest
	}
	fraction := math.Log(c+1) / math.Log(k+1)
	return max(shortest, longest-time.Duration(fraction*float64(longest-shortest)))
}
