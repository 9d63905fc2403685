package controlplane

import (
	mathrand "math/rand/v2"
	"time"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
	"dykering/internal/sessionsync"
)

// The functions of this file connect sessionsync.Replica, which decides what the replicas of the sessions exchange, with the
// event loop: they feed it events and execute its outputs.

// maxSessionClockTicks bounds how far the session clock advances in one step, in tick intervals.
const maxSessionClockTicks = 4

// sessionConfig returns the configuration of this member's session replica.
func (s *Server) sessionConfig(canStore bool) sessionsync.Config {
	return sessionsync.Config{
		Self: s.chain.Self().Address, TTL: s.timing.sessionTTL, RenewalInterval: s.timing.renewalInterval,
		AntiEntropyInterval: s.timing.antiEntropyInterval, FullSyncTimeout: s.timing.fullSyncTimeout,
		DepartureTimeout: s.timing.drainAckTimeout, MaxClockStep: maxSessionClockTicks * s.timing.tickInterval,
		FirstNumber: randomStartNumber(), RandomIndex: mathrand.IntN, CanStore: canStore,
	}
}

// core returns the view of the core that the session replica needs.
func (s *Server) core(now time.Duration) sessionsync.Core { return sessionsync.CoreOf(s.chain, now) }

// registerSessionCall registers a call of an endpoint, to be answered when the replica has the outcome.
func (s *Server) registerSessionCall(answer func(error)) sessionsync.CallID {
	s.lastSessionCall++
	s.sessionCalls[s.lastSessionCall] = answer
	return s.lastSessionCall
}

// applyHeartbeat passes the heartbeat of an endpoint to the replica.
func (s *Server) applyHeartbeat(id string, heartbeat sessions.Heartbeat, answer func(error)) {
	now := s.now()
	s.applySessionOutput(s.sessions.Heartbeat(now, s.core(now), id, heartbeat, s.registerSessionCall(answer)))
}

// deregister passes the deregistration of an endpoint to the replica.
func (s *Server) deregister(id string, answer func(error)) {
	now := s.now()
	s.applySessionOutput(s.sessions.Deregister(now, s.core(now), id, s.registerSessionCall(answer)))
}

// receiveSessions passes a message of a peer about sessions to the replica.
func (s *Server) receiveSessions(now time.Duration, message any) {
	s.applySessionOutput(s.sessions.Receive(now, s.core(now), message))
}

// onSessionsStored passes the result of writing a snapshot to the replica.
func (s *Server) onSessionsStored(err error) {
	now := s.now()
	s.applySessionOutput(s.sessions.SnapshotStored(now, s.core(now), err))
}

// applySessionOutput executes an output of the replica.
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
		s.sessionStore.snapshots <- out.Snapshot // does not block: the replica has one snapshot written at a time
	}
}

// broadcastSubscriberCount tells the peers at an interval how many proxies subscribe to this member.
func (s *Server) broadcastSubscriberCount(now time.Duration) {
	if now < s.subscriberCountDue {
		return
	}
	s.subscriberCountDue = now + s.timing.antiEntropyInterval
	s.broadcast(protocol.SubscriberCount{From: s.chain.Self().Address, Count: len(s.subscribers)})
}
