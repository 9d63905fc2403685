package coresim

import (
	"math/rand/v2"
	"time"

	"dykering/internal/chain"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
	"dykering/internal/sessionsync"
)

// Times of the sessions in the simulated processes, as internal/controlplane derives them for a contact time of 3 s.
const (
	sessionTTL          = 3*heartbeatInterval + time.Second
	renewalInterval     = heartbeatInterval / 4
	antiEntropyInterval = heartbeatInterval
	fullSyncTimeout     = 750 * time.Millisecond
	departureTimeout    = 500 * time.Millisecond
	maxSessionClockStep = 4 * tickInterval
	// maxUnconfirmed is the time without a majority's confirmation after which a member ends its streams.
	maxUnconfirmed = 750 * time.Millisecond
)

// sessionTable is the emulated side of the sessions: the endpoints that keep them.
type sessionTable struct {
	sim     *Simulation
	random  *rand.Rand // of its own, so that the core's schedules are the same without the sessions
	checker *departureChecker
	started int // endpoints so far
}

func newSessionTable(sim *Simulation) *sessionTable {
	t := &sessionTable{sim: sim, random: rand.New(rand.NewPCG(sim.options.Seed, 7)), checker: newDepartureChecker()}
	for range sessionClientCount {
		t.startClient()
	}
	return t
}

// sessionProcess is the replica of the sessions in one process: the state machine that ships, driven as internal/controlplane
// does.
type sessionProcess struct {
	m        *machine
	replica  *sessionsync.Replica
	calls    map[sessionsync.CallID]func(error)
	lastCall sessionsync.CallID
}

// startSessions starts the replica of a process with what is on its disk.
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

func (p *sessionProcess) core() sessionsync.Core { return sessionsync.CoreOf(p.m.node, p.m.sim.now) }

func (p *sessionProcess) tick() {
	now := p.m.sim.now
	p.carryOut(p.replica.Tick(now, p.core()))
	p.flush()
	p.m.sim.sessions.checker.observe(now, p)
}

// flush ends a batch of inputs.
func (p *sessionProcess) flush() { p.carryOut(p.replica.Flush(p.m.sim.now, p.core())) }

func (p *sessionProcess) receive(message any) {
	p.carryOut(p.replica.Receive(p.m.sim.now, p.core(), message))
	p.flush()
}

// heartbeat takes a heartbeat of an endpoint.
func (p *sessionProcess) heartbeat(id string, beat sessions.Heartbeat, answer func(error)) {
	p.carryOut(p.replica.Heartbeat(p.m.sim.now, p.core(), id, beat, p.call(beat.State, answer)))
	p.flush()
}

// deregister takes the deregistration of an endpoint.
func (p *sessionProcess) deregister(id string, answer func(error)) {
	p.carryOut(p.replica.Deregister(p.m.sim.now, p.core(), id, p.call(sessions.Departed, answer)))
	p.flush()
}

// call registers a call. With the flaw AckDepartureAtOnce it is answered at once too.
func (p *sessionProcess) call(state sessions.State, answer func(error)) sessionsync.CallID {
	p.lastCall++
	p.calls[p.lastCall] = answer
	if p.m.sim.options.Flaw == AckDepartureAtOnce && sessions.Ready.Before(state) && p.core().HasQuorum {
		answer(nil)
	}
	return p.lastCall
}

// carryOut sends messages, answers calls and writes a snapshot.
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

// write stores a snapshot after a sync. A process that is killed before has written it or not.
func (p *sessionProcess) write(records []sessions.Record) {
	m := p.m
	m.sessionWrite = records
	incarnation := m.incarnation
	m.sim.at(max(m.sim.now+syncDuration, m.stalledUntil), func() { p.written(incarnation, records) })
}

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

func (p *sessionProcess) stored(incarnation int) {
	if p.m.incarnation != incarnation || !p.m.isRunning() {
		return
	}
	p.carryOut(p.replica.SnapshotStored(p.m.sim.now, p.core(), nil))
	p.flush()
}

// killSessions ends the replica: what was being written is on disk or not.
func (m *machine) killSessions() {
	if m.sessionWrite != nil && m.sim.sessions.random.IntN(2) == 0 {
		m.sessionDisk = m.sessionWrite
	}
	m.sessionWrite = nil
}

// servesStreams reports whether proxies may follow this member, as internal/controlplane decides it.
func (p *sessionProcess) servesStreams(now time.Duration) bool {
	node := p.m.node
	isSynced := p.replica.IsSynced() || p.m.sim.options.Flaw == ServeBeforeSync
	return isSynced && node.IsInChain() && node.IsCommitKnown() && now-node.QuorumConfirmedAt(now) < maxUnconfirmed
}

// isSessionMessage reports whether a message is for the replica of the sessions.
func isSessionMessage(message any) bool {
	switch message.(type) {
	case protocol.SessionUpdate, protocol.SessionAck, protocol.SessionSnapshotRequest, protocol.SessionSnapshot,
		protocol.SessionDigest, protocol.SessionRange:
		return true
	}
	return false
}
