package replication

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/fleet/replica"
)

const (
	// sendAttempts and retryPause apply to one message to a member. Retries are needed because packet loss can also break
	// a stream.
	sendAttempts = 3
	retryPause   = 300 * time.Millisecond
	// factsPerMessage bounds the number of facts in one message to a member.
	factsPerMessage = 256
)

// outgoingMessage is a queued message to a single member.
type outgoingMessage struct {
	to      string
	message []byte
}

// broadcast disseminates a fact if the rate limit allows it. Otherwise the fact reaches other members by the next
// comparison.
func (s *Service) broadcast(fact replica.Fact) {
	data := encode(message{Facts: []replica.Fact{fact}})
	if !s.rateLimit.take(time.Now(), len(data)) {
		s.counters.Held.Add(1)
		return
	}
	s.counters.Told.Add(1)
	s.counters.BytesTold.Add(uint64(len(data)))
	s.gossip.Broadcast(fact.Origin+"/"+fact.Subject, data)
}

// Receive handles a message from another member: facts or a summary.
func (s *Service) Receive(data []byte) {
	m, err := decode(data)
	if err != nil {
		s.rejectMessage(err)
		return
	}
	if m.isSummary() {
		s.sendDifferences(m)
		return
	}
	s.enqueueEvent(func(store *replica.Store) { s.merge(store, m) })
}

// Summary returns the summary that memberlist sends with a push-pull. It is as of the last event.
func (s *Service) Summary() []byte { return *s.summary.Load() }

// ReceiveSummary handles the summary in another member's push-pull.
func (s *Service) ReceiveSummary(data []byte) {
	m, err := decode(data)
	if err != nil || m.From == "" {
		s.rejectMessage(err)
		return
	}
	s.sendDifferences(m)
}

// rejectMessage counts and logs a message that cannot be decoded.
func (s *Service) rejectMessage(err error) {
	s.counters.Bad.Add(1)
	s.log.Warn("fleet.replica.refused", zap.String("why", "no message of ours"), zap.Error(err))
}

// merge merges received facts, and broadcasts those that changed the store.
func (s *Service) merge(store *replica.Store, m message) {
	now, merged, rejected := s.now(), 0, map[replica.Rejection]int{}
	for _, fact := range m.Facts {
		switch changed, rejection := store.Merge(now, fact); {
		case rejection != "":
			rejected[rejection]++
			s.counters.Refused.Add(1)
		case changed:
			merged++
			s.counters.Merged.Add(1)
			s.broadcast(fact)
		default:
			s.counters.Known.Add(1)
		}
	}
	for rejection, count := range rejected {
		s.log.Warn("fleet.replica.refused", zap.String("why", string(rejection)), zap.Int("facts", count),
			zap.String("from", m.From), zap.String("origin", m.Facts[0].Origin))
	}
	isRepair := m.From != "" && merged > 0
	if isRepair {
		s.counters.CaughtUp.Add(1)
		s.log.Info("fleet.replica.caught_up", zap.String("from", m.From), zap.Int("facts", len(m.Facts)),
			zap.Int("news", merged), zap.String("rule", "the origin's newest fact"), zap.String("digest", store.Digest()))
	}
}

// compareWithPeer sends the summary of this copy to a random member, which answers with the facts that this copy lacks.
func (s *Service) compareWithPeer(store *replica.Store) {
	if peer, ok := s.gossip.RandomPeer(); ok {
		s.enqueueMessage(peer, message{From: s.self, Hashes: store.Summary(), RequestSummary: true})
	}
}

// sendDifferences sends a member the facts that its copy lacks by its summary: all facts if the summary is empty. If the
// member requests a summary and this copy lacks facts, it sends its own summary too.
func (s *Service) sendDifferences(m message) {
	s.enqueueEvent(func(store *replica.Store) {
		facts := store.Differing(s.now(), m.Hashes)
		for len(facts) > 0 {
			count := min(len(facts), factsPerMessage)
			if !s.enqueueMessage(m.From, message{From: s.self, Facts: facts[:count]}) {
				return
			}
			facts = facts[count:]
		}
		summary := store.Summary()
		for origin, hash := range m.Hashes {
			if m.RequestSummary && summary[origin] != hash {
				s.enqueueMessage(m.From, message{From: s.self, Hashes: summary})
				return
			}
		}
	})
}

// enqueueMessage queues a message to a member. It returns false if the rate limit is reached or the queue is full.
func (s *Service) enqueueMessage(to string, m message) bool {
	data := encode(m)
	if !s.rateLimit.take(time.Now(), len(data)) {
		s.counters.Held.Add(1)
		return false
	}
	select {
	case s.outbox <- outgoingMessage{to, data}:
		return true
	default:
		s.counters.Lost.Add(1)
		return false
	}
}

// sendQueued sends the queued messages one after another. A slow member delays the messages to others by at most
// memberlist's timeout.
func (s *Service) sendQueued() {
	for {
		select {
		case next := <-s.outbox:
			s.sendWithRetries(next)
		case <-s.done:
			return
		}
	}
}

// sendWithRetries sends a message, with retries. If all attempts fail, the next comparison finds the difference again.
func (s *Service) sendWithRetries(next outgoingMessage) {
	for range sendAttempts {
		s.counters.BytesSent.Add(uint64(len(next.message)))
		err := s.gossip.Send(next.to, next.message)
		if err == nil {
			return
		}
		s.log.Debug("fleet.replica.unsent", zap.Error(err))
		select {
		case <-time.After(retryPause):
		case <-s.done:
			return
		}
	}
}
