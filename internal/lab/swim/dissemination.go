package swim

import (
	"math"
	"slices"

	"dykering/internal/fleet/membership"
)

// update is what gossip carries: a member's state under an incarnation.
type update struct {
	of    int
	inc   uint32
	state membership.State
}

type queued struct {
	update
	sent int
}

// gossip sends the updates that are due to a few random members.
func (f *Fleet) gossip(i int) {
	for _, k := range f.pick(i, f.s.GossipNodes, -1) {
		if msg := f.take(i); len(msg) > 0 {
			f.send(i, k, &event{kind: deliver, msg: msg})
		}
	}
}

// take is the updates that a message carries, those sent least often first; an update is sent at most
// RetransmitMult * log10(N+1) times.
func (f *Fleet) take(i int) []update {
	m := f.members[i]
	if len(m.queue) == 0 {
		return nil
	}
	limit := f.s.RetransmitMult * int(math.Ceil(math.Log10(float64(len(f.members)+1))))
	slices.SortStableFunc(m.queue, func(a, b queued) int { return a.sent - b.sent })
	var msg []update
	for k := 0; k < len(m.queue) && len(msg) < mostPerMsg; k++ {
		msg = append(msg, m.queue[k].update)
		m.queue[k].sent++
	}
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.sent >= limit })
	return msg
}

// broadcast queues an update to be gossiped, in place of an older one of the same member.
func (f *Fleet) broadcast(i int, u update) {
	m := f.members[i]
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.of == u.of })
	m.queue = append(m.queue, queued{update: u})
}

// learn takes an update at member i, by SWIM's rules, refuting what is said of i itself.
func (f *Fleet) learn(i int, u update) {
	m := f.members[i]
	if u.of == i {
		if u.state != membership.Alive && u.inc >= m.inc {
			m.inc = u.inc + 1
			m.incs[i] = m.inc
			f.Stats.Refutations++
			f.broadcast(i, update{i, m.inc, membership.Alive})
			m.view.Observe(f.observation(i, m.inc, membership.Alive), f.start.Add(f.now))
		}
		return
	}
	held, inc := m.state[u.of], m.incs[u.of]
	switch u.state {
	case membership.Alive:
		if u.inc <= inc {
			return
		}
	case membership.Suspect:
		if u.inc < inc || held == membership.Dead || held == membership.Left {
			return
		}
		if held == membership.Suspect && u.inc == inc {
			m.confirms[u.of]++ // a confirmation shortens the suspicion: look again when the shorter one ends
			f.at(max(0, m.suspected[u.of]+f.suspicion(i, u.of)-f.now)+1,
				&event{kind: suspectEnd, from: i, target: uint64(u.of)})
			return
		}
		m.suspected[u.of], m.confirms[u.of] = f.now, 0
		f.at(f.suspicion(i, u.of)+1, &event{kind: suspectEnd, from: i, target: uint64(u.of)})
		f.Stats.Suspicions++
		f.episode(u, &f.Stats.FalseSuspicions)
	case membership.Dead, membership.Left:
		if u.inc < inc || held == membership.Dead || held == membership.Left {
			return
		}
		f.Stats.Deaths++
		f.episode(u, &f.Stats.FalseDeaths)
	}
	if u.state != membership.Suspect {
		m.suspected[u.of] = -1
	}
	m.state[u.of], m.incs[u.of] = u.state, u.inc
	f.broadcast(i, u)
	at := f.start.Add(f.now)
	if c, news := m.view.Observe(f.observation(u.of, u.inc, u.state), at); news && f.OnChange != nil {
		f.OnChange(i, c)
	}
}

// episode counts an update of a working member, once for each incarnation.
func (f *Fleet) episode(u update, count *int) {
	key := [3]uint32{uint32(u.of), u.inc, uint32(u.state)}
	if f.members[u.of].up && !f.Stats.episodes[key] {
		if f.Stats.episodes == nil {
			f.Stats.episodes = map[[3]uint32]bool{}
		}
		f.Stats.episodes[key] = true
		*count++
	}
}

// reconnect has member i ask one member that it holds dead to join again: a full exchange of states both ways, if
// both can reach each other.
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
	k := dead[f.rng.IntN(len(dead))]
	a, b := f.set[i], f.set[k]
	if a != 0 && b != 0 && a != b || !f.members[k].working() || f.rng.Float64() < f.loss {
		f.Stats.Messages++
		return
	}
	f.Stats.Messages += 2
	f.Stats.Bytes += uint64(2 * (headerBytes + updateBytes*len(f.members)))
	mine, theirs := f.states(i), f.states(k)
	for _, u := range theirs {
		f.learn(i, u)
	}
	for _, u := range mine {
		f.learn(k, u)
	}
}

// states is all that a member holds, itself among them.
func (f *Fleet) states(i int) []update {
	m := f.members[i]
	all := make([]update, len(m.state))
	for k := range m.state {
		all[k] = update{k, m.incs[k], m.state[k]}
	}
	all[i] = update{i, m.inc, membership.Alive}
	return all
}
