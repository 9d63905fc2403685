package controlplane

import (
	mathrand "math/rand/v2"
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
	"dykering/internal/sessionsync"
)

// What the replicas of the sessions exchange is decided by sessionsync.Replica. The functions here connect it with the event
// loop: they give it what happens, and carry out what it asks for.

// maxSessionClockTicks bounds, in ticks, by how much the session clock advances at once.
const maxSessionClockTicks = 4

// sessionConfig is the configuration of this member's replica.
func (s *Server) sessionConfig(canStore bool) sessionsync.Config {
	return sessionsync.Config{
		Self: s.chain.Self().Address, TTL: s.timing.sessionTTL, RenewalInterval: s.timing.renewalInterval,
		AntiEntropyInterval: s.timing.antiEntropyInterval, FullSyncTimeout: s.timing.fullSyncTimeout,
		DepartureTimeout: s.timing.drainAckTimeout, MaxClockStep: maxSessionClockTicks * s.timing.tickInterval,
		FirstNumber: randomStartNumber(), RandomIndex: mathrand.IntN, CanStore: canStore,
	}
}

// core is the core as the replica of the sessions needs to see it.
func (s *Server) core(now time.Duration) sessionsync.Core { return sessionsync.CoreOf(s.chain, now) }

// registerSessionCall begins a call of an endpoint that is answered by the replica.
func (s *Server) registerSessionCall(answer func(error)) sessionsync.CallID {
	s.lastSessionCall++
	s.sessionCalls[s.lastSessionCall] = answer
	return s.lastSessionCall
}

// applyHeartbeat stores a heartbeat of an endpoint.
func (s *Server) applyHeartbeat(id string, heartbeat sessions.Heartbeat, answer func(error)) {
	now := s.now()
	s.applySessionOutput(s.sessions.Heartbeat(now, s.core(now), id, heartbeat, s.registerSessionCall(answer)))
}

// deregister stores that an endpoint has departed.
func (s *Server) deregister(id string, answer func(error)) {
	now := s.now()
	s.applySessionOutput(s.sessions.Deregister(now, s.core(now), id, s.registerSessionCall(answer)))
}

// receiveSessions handles a message of a peer about sessions.
func (s *Server) receiveSessions(now time.Duration, message any) {
	s.applySessionOutput(s.sessions.Receive(now, s.core(now), message))
}

// onSessionsStored takes the end of the write of a snapshot.
func (s *Server) onSessionsStored(err error) {
	now := s.now()
	s.applySessionOutput(s.sessions.SnapshotStored(now, s.core(now), err))
}

// applySessionOutput does what the replica asks for.
func (s *Server) applySessionOutput(out sessionsync.Output) {
	for _, envelope := range out.Messages {
		s.send(envelope.To, envelope.Message)
	}
	for _, departing := range out.Departing {
		s.log.Info("endpoint.departing", "id", departing.ID, "state", string(departing.State))
	}
	for _, answered := range out.Answers {
		answer := s.sessionCalls[answered.Call]
		delete(s.sessionCalls, answered.Call)
		answer(answered.Err)
	}
	if out.Snapshot != nil {
		s.sessionStore.snapshots <- out.Snapshot // the replica waits for the end of one before the next
	}
}

// broadcastSubscriberCount tells the peers how many proxies follow this member, at an interval.
func (s *Server) broadcastSubscriberCount(now time.Duration) {
	if now < s.subscriberCountDue {
		return
	}
	s.subscriberCountDue = now + s.timing.antiEntropyInterval
	s.broadcast(protocol.SubscriberCount{From: s.chain.Self().Address, Count: len(s.subscribers)})
}
