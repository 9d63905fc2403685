package swim

import (
	"math"
	"slices"

	"dykering/internal/fleet/membership"
)

// update is a gossiped fact: the state of a member in one of its incarnations.
type update struct {
	member      int
	incarnation uint32
	state       membership.State
}

// queuedUpdate is an update that waits for gossip, with the number of times that it was sent.
type queuedUpdate struct {
	update
	sent int
}

// gossip sends queued updates of member i to a few random members.
func (f *Fleet) gossip(i int) {
	for _, k := range f.choosePeers(i, f.settings.GossipNodes, -1) {
		if msg := f.nextUpdates(i); len(msg) > 0 {
			f.send(i, k, &event{kind: deliverGossip, updates: msg})
		}
	}
}

// nextUpdates returns the updates for one message of member i, those that were sent least often first. An
// update is sent at most RetransmitMult * log10(N+1) times.
func (f *Fleet) nextUpdates(i int) []update {
	m := f.members[i]
	if len(m.queue) == 0 {
		return nil
	}
	limit := f.settings.RetransmitMult * int(math.Ceil(math.Log10(float64(len(f.members)+1))))
	slices.SortStableFunc(m.queue, func(a, b queuedUpdate) int { return a.sent - b.sent })
	var msg []update
	for k := 0; k < len(m.queue) && len(msg) < maxUpdatesPerMessage; k++ {
		msg = append(msg, m.queue[k].update)
		m.queue[k].sent++
	}
	m.queue = slices.DeleteFunc(m.queue, func(q queuedUpdate) bool { return q.sent >= limit })
	return msg
}

// broadcast queues an update for gossip by member i. It replaces an older update about the same member.
func (f *Fleet) broadcast(i int, u update) {
	m := f.members[i]
	m.queue = slices.DeleteFunc(m.queue, func(q queuedUpdate) bool { return q.member == u.member })
	m.queue = append(m.queue, queuedUpdate{update: u})
}

// apply applies an update at member i by SWIM's rules. If the update suspects i itself, i refutes it.
func (f *Fleet) apply(i int, u update) {
	m := f.members[i]
	if u.member == i {
		if u.state != membership.Alive && u.incarnation >= m.incarnation {
			m.incarnation = u.incarnation + 1
			m.incarnations[i] = m.incarnation
			f.Stats.Refutations++
			f.broadcast(i, update{i, m.incarnation, membership.Alive})
			m.view.Observe(f.observation(i, m.incarnation, membership.Alive), f.start.Add(f.now))
		}
		return
	}
	known, knownIncarnation := m.state[u.member], m.incarnations[u.member]
	switch u.state {
	case membership.Alive:
		if u.incarnation <= knownIncarnation {
			return
		}
	case membership.Suspect:
		if u.incarnation < knownIncarnation || known == membership.Dead || known == membership.Left {
			return
		}
		if known == membership.Suspect && u.incarnation == knownIncarnation {
			// The confirmation shortens the suspicion, so its end is checked earlier.
			m.confirmations[u.member]++
			f.schedule(max(0, m.suspected[u.member]+f.suspicion(i, u.member)-f.now)+1,
				&event{kind: suspicionExpired, from: i, target: uint64(u.member)})
			return
		}
		m.suspected[u.member], m.confirmations[u.member] = f.now, 0
		f.schedule(f.suspicion(i, u.member)+1, &event{kind: suspicionExpired, from: i, target: uint64(u.member)})
		f.Stats.Suspicions++
		f.countEpisode(u, &f.Stats.FalseSuspicions)
	case membership.Dead, membership.Left:
		if u.incarnation < knownIncarnation || known == membership.Dead || known == membership.Left {
			return
		}
		f.Stats.Deaths++
		f.countEpisode(u, &f.Stats.FalseDeaths)
	}
	if u.state != membership.Suspect {
		m.suspected[u.member] = -1
	}
	m.state[u.member], m.incarnations[u.member] = u.state, u.incarnation
	f.broadcast(i, u)
	at := f.start.Add(f.now)
	if c, changed := m.view.Observe(f.observation(u.member, u.incarnation, u.state), at); changed && f.OnChange != nil {
		f.OnChange(i, c)
	}
}

// countEpisode counts an update about a running member, once for each of its incarnations and states.
func (f *Fleet) countEpisode(u update, count *int) {
	key := [3]uint32{uint32(u.member), u.incarnation, uint32(u.state)}
	if f.members[u.member].up && !f.Stats.episodes[key] {
		if f.Stats.episodes == nil {
			f.Stats.episodes = map[[3]uint32]bool{}
		}
		f.Stats.episodes[key] = true
		*count++
	}
}

// reconnect makes member i ask a random member that it considers dead to join again. If they can reach each
// other, they exchange all of their states.
func (f *Fleet) reconnect(i int) {
	m := f.members[i]
	if !m.working() {
		return
	}
	var dead []int
	for k, s := range m.state {
		if s == membership.Dead && k != i {
			dead = append(dead, k)
		}
	}
	if len(dead) == 0 {
		return
	}
	k := dead[f.random.IntN(len(dead))]
	a, b := f.partition[i], f.partition[k]
	if a != 0 && b != 0 && a != b || !f.members[k].working() || f.random.Float64() < f.loss {
		f.Stats.Messages++
		return
	}
	f.Stats.Messages += 2
	f.Stats.Bytes += uint64(2 * (headerBytes + updateBytes*len(f.members)))
	mine, theirs := f.states(i), f.states(k)
	for _, u := range theirs {
		f.apply(i, u)
	}
	for _, u := range mine {
		f.apply(k, u)
	}
}

// states returns all states that member i knows, including its own.
func (f *Fleet) states(i int) []update {
	m := f.members[i]
	all := make([]update, len(m.state))
	for k := range m.state {
		all[k] = update{k, m.incarnations[k], m.state[k]}
	}
	all[i] = update{i, m.incarnation, membership.Alive}
	return all
}
