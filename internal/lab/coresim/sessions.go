package coresim

import (
	"math/rand/v2"
	"time"

	"dykering/internal/chain"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
	"dykering/internal/sessionsync"
)

// Times of the sessions in the simulated processes, as internal/controlplane derives them from a contact_ms of 3,000.
const (
	sessionTTL          = 3*heartbeatInterval + time.Second
	renewalInterval     = heartbeatInterval / 4
	antiEntropyInterval = heartbeatInterval
	fullSyncTimeout     = 750 * time.Millisecond
	departureTimeout    = 500 * time.Millisecond
	maxSessionClockStep = 4 * tickInterval
	// maxUnconfirmed is the time without confirmation by a majority after which a member ends its streams.
	maxUnconfirmed = 750 * time.Millisecond
)

// sessionTable contains the emulated endpoints that keep sessions, and the checker of their departures.
type sessionTable struct {
	sim     *Simulation
	random  *rand.Rand // a separate stream, so that the sessions do not change the core's schedules
	checker *departureChecker
	started int // number of endpoints started so far
}

func newSessionTable(sim *Simulation) *sessionTable {
	t := &sessionTable{sim: sim, random: rand.New(rand.NewPCG(sim.options.Seed, 7)), checker: newDepartureChecker()}
	for range sessionClientCount {
		t.startClient()
	}
	return t
}

// sessionProcess is the session replica of one process. It drives the program's own state machine (sessionsync.Replica) in the
// way that internal/controlplane does.
type sessionProcess struct {
	m        *machine
	replica  *sessionsync.Replica
	calls    map[sessionsync.CallID]func(error)
	lastCall sessionsync.CallID
}

// startSessions starts the session replica of a process from the snapshot on its disk.
func (m *machine) startSessions() {
	if m.sim.sessions == nil {
		return
	}
	random := m.sim.sessions.random
	m.sessions = &sessionProcess{m: m, calls: map[sessionsync.CallID]func(error){}}
	m.sessions.replica = sessionsync.New(sessionsync.Config{
		Self: m.address, TTL: sessionTTL, RenewalInterval: renewalInterval, AntiEntropyInterval: antiEntropyInterval,
		FullSyncTimeout: fullSyncTimeout, DepartureTimeout: departureTimeout, MaxClockStep: maxSessionClockStep,
		FirstNumber: uint64(m.incarnation) * nonceDistance, RandomIndex: random.IntN, CanStore: true,
	}, m.sessionDisk)
}

// core returns what the replica needs to know about the member's node.
func (p *sessionProcess) core() sessionsync.Core { return sessionsync.CoreOf(p.m.node, p.m.sim.now) }

// tick does the periodic work of the replica.
func (p *sessionProcess) tick() {
	now := p.m.sim.now
	p.carryOut(p.replica.Tick(now, p.core()))
	p.flush()
	p.m.sim.sessions.checker.observe(now, p)
}

// flush ends a batch of inputs and carries out the output of the replica.
func (p *sessionProcess) flush() { p.carryOut(p.replica.Flush(p.m.sim.now, p.core())) }

// receive handles a message of another replica.
func (p *sessionProcess) receive(message any) {
	p.carryOut(p.replica.Receive(p.m.sim.now, p.core(), message))
	p.flush()
}

// heartbeat handles a heartbeat of an endpoint.
func (p *sessionProcess) heartbeat(id string, beat sessions.Heartbeat, answer func(error)) {
	p.carryOut(p.replica.Heartbeat(p.m.sim.now, p.core(), id, beat, p.call(beat.State, answer)))
	p.flush()
}

// deregister handles the deregistration of an endpoint.
func (p *sessionProcess) deregister(id string, answer func(error)) {
	p.carryOut(p.replica.Deregister(p.m.sim.now, p.core(), id, p.call(sessions.Departed, answer)))
	p.flush()
}

// call registers the answer function of a call. With the flaw AckDepartureAtOnce a departure is also answered immediately.
func (p *sessionProcess) call(state sessions.State, answer func(error)) sessionsync.CallID {
	p.lastCall++
	p.calls[p.lastCall] = answer
	if p.m.sim.options.Flaw == AckDepartureAtOnce && sessions.Ready.Before(state) && p.core().HasQuorum {
		answer(nil)
	}
	return p.lastCall
}

// carryOut sends the messages, answers the calls and writes the snapshot of an output.
func (p *sessionProcess) carryOut(out sessionsync.Output) {
	for _, envelope := range out.Messages {
		p.m.sim.send(p.m, chain.Envelope{To: envelope.To, Message: envelope.Message})
	}
	for _, answered := range out.Answers {
		answer := p.calls[answered.Call]
		delete(p.calls, answered.Call)
		answer(answered.Err)
	}
	if out.Snapshot != nil {
		p.write(out.Snapshot)
	}
}

// write stores a snapshot, which takes the time of a sync. If the process is killed meanwhile, the snapshot may or may not be
// on disk.
func (p *sessionProcess) write(records []sessions.Record) {
	m := p.m
	m.sessionWrite = records
	incarnation := m.incarnation
	m.sim.at(max(m.sim.now+syncDuration, m.stalledUntil), func() { p.written(incarnation, records) })
}

// written puts a snapshot on the disk. A frozen process notices that only when it resumes.
func (p *sessionProcess) written(incarnation int, records []sessions.Record) {
	m := p.m
	if m.incarnation != incarnation || !m.up {
		return
	}
	m.sessionDisk, m.sessionWrite = records, nil
	if !m.isRunning() {
		m.sim.at(m.frozenUntil, func() { p.stored(incarnation) })
		return
	}
	p.stored(incarnation)
}

// stored reports to the replica that its snapshot is on disk.
func (p *sessionProcess) stored(incarnation int) {
	if p.m.incarnation != incarnation || !p.m.isRunning() {
		return
	}
	p.carryOut(p.replica.SnapshotStored(p.m.sim.now, p.core(), nil))
	p.flush()
}

// killSessions ends the replica. A snapshot that is being written reaches the disk in half of the cases.
func (m *machine) killSessions() {
	if m.sessionWrite != nil && m.sim.sessions.random.IntN(2) == 0 {
		m.sessionDisk = m.sessionWrite
	}
	m.sessionWrite = nil
}

// servesStreams reports whether this member may serve update streams to proxies, by the rule of internal/controlplane.
func (p *sessionProcess) servesStreams(now time.Duration) bool {
	node := p.m.node
	isSynced := p.replica.IsSynced() || p.m.sim.options.Flaw == ServeBeforeSync
	return isSynced && node.IsInChain() && node.IsCommitKnown() && now-node.QuorumConfirmedAt(now) < maxUnconfirmed
}

// isSessionMessage reports whether a message is addressed to the session replica.
func isSessionMessage(message any) bool {
	switch message.(type) {
	case protocol.SessionUpdate, protocol.SessionAck, protocol.SessionSnapshotRequest, protocol.SessionSnapshot,
		protocol.SessionDigest, protocol.SessionRange:
		return true
	}
	return false
}
