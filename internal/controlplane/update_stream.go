package controlplane

import (
	"time"

	"dykering/internal/corestate"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	// updateQueueLength bounds the updates that wait for one proxy's connection. A proxy that falls further behind
	// subscribes to another member and gets a full update.
	updateQueueLength = 64
	// maxSubscribers bounds the streams of one member.
	maxSubscribers = 2048
	// subscriberIdleTimeout ends the stream of a proxy that has gone. A proxy acknowledges each update, and updates are
	// sent at least every protocol.Keepalive.
	subscriberIdleTimeout = 5 * time.Second
	// updateWriteTimeout ends a stream whose connection accepts no more data.
	updateWriteTimeout = time.Second
)

// subscriber is a proxy that follows an update stream of this member.
type subscriber struct {
	name    string
	zone    string
	conn    *peerlink.Conn
	updates chan protocol.Update // read by writeUpdates; closed when the subscriber is removed

	// Owned by the event loop: what has been queued for the proxy, and what the proxy has acknowledged.
	fullUpdateSent bool
	sentIndex      uint64 // modify index of the table of sessions
	sentConfigSeq  uint64
	sentAt         time.Duration
	acked          protocol.Ack
	echoAt         time.Duration // SentAt of the proxy's latest message, on its clock
}

// peerSubscriberCount is the number of subscribers that a peer has reported.
type peerSubscriberCount struct {
	count      int
	receivedAt time.Duration
}

// serveSubscriber streams updates to a proxy until either side ends the stream.
func (s *Server) serveSubscriber(conn *peerlink.Conn, request protocol.Subscribe) {
	sub := &subscriber{
		name: request.Name, zone: request.Zone, conn: conn, sentConfigSeq: request.ConfigSeq, echoAt: request.SentAt,
		updates: make(chan protocol.Update, updateQueueLength),
	}
	s.enqueue(func() { s.addSubscriber(sub) })
	go sub.writeUpdates()
	for {
		message, err := conn.Receive(subscriberIdleTimeout)
		if err != nil {
			break
		}
		s.enqueue(func() { s.onSubscriberMessage(sub, message) })
	}
	s.enqueue(func() { s.removeSubscriber(sub) })
}

// writeUpdates sends the queued updates. It closes the connection when the queue is closed or a write fails. After a
// failed write it discards updates until the event loop closes the queue.
func (sub *subscriber) writeUpdates() {
	defer sub.conn.Close()
	for update := range sub.updates {
		if sub.conn.Send(update, updateWriteTimeout) != nil {
			sub.conn.Close()
			for range sub.updates {
			}
			return
		}
	}
}

// addSubscriber adds a subscriber, or ends its stream at once if this member cannot serve it.
func (s *Server) addSubscriber(sub *subscriber) {
	s.subscribers[sub] = true
	if len(s.subscribers) > maxSubscribers || !s.canStream(s.now()) || !s.sessions.IsSynced() {
		s.endStream(sub)
	}
}

// removeSubscriber removes a subscriber and the loads that it has reported.
func (s *Server) removeSubscriber(sub *subscriber) {
	if s.subscribers[sub] {
		delete(s.subscribers, sub)
		s.endpointLoads.applyReport(s.now(), sub.name, nil)
		close(sub.updates)
	}
}

// endStream ends the stream of a subscriber and tells it to subscribe to another member.
func (s *Server) endStream(sub *subscriber) {
	select {
	case sub.updates <- protocol.Update{Leaving: true, Members: s.streamMembers(s.now())}:
	default: // the queue is full: the proxy notices that the connection ends
	}
	s.removeSubscriber(sub)
}

func (s *Server) endStreams() {
	for sub := range s.subscribers {
		s.endStream(sub)
	}
}

// streamMembers returns the voters of the view. A proxy may subscribe to any of them.
func (s *Server) streamMembers(now time.Duration) []protocol.ControlProcess {
	view := s.chain.View()
	members := make([]protocol.ControlProcess, 0, len(view.Voters))
	for _, voter := range view.Voters {
		members = append(members, protocol.ControlProcess{Address: voter.Address, Zone: s.chain.ZoneOf(now, voter)})
	}
	return members
}

// onSubscriberMessage handles an acknowledgement or a report of a subscriber.
func (s *Server) onSubscriberMessage(sub *subscriber, message any) {
	if !s.subscribers[sub] {
		// The message was queued when the stream ended. The proxy now reports to another member: this member would count
		// its requests a second time, and never remove them.
		return
	}
	switch m := message.(type) {
	case protocol.Ack:
		sub.acked = m
		sub.echoAt = max(sub.echoAt, m.SentAt)
	case protocol.DemandReport:
		s.endpointLoads.applyReport(s.now(), sub.name, m.Loads)
		m.Loads = nil
		s.placement.forwardDemand(m)
	}
}

// canStream reports whether this member may serve streams: it is in the chain, it knows what is committed, and a
// majority has confirmed its view recently. A partitioned member must not keep proxies on outdated state.
func (s *Server) canStream(now time.Duration) bool {
	return s.chain.IsInChain() && s.chain.IsCommitKnown() && now-s.chain.QuorumConfirmedAt(now) < s.timing.maxUnconfirmed
}

// streamUpdates queues for each subscriber the changes that it does not have yet.
func (s *Server) streamUpdates(now time.Duration) {
	if !s.canStream(now) {
		if s.chain.IsSealed() && s.chain.HasQuorum(now) {
			// The members are agreeing on the next view. Ending the streams would move all proxies at each view change.
			return
		}
		s.endStreams()
		return
	}
	committed := s.chain.CommittedState()
	configurationSeq := corestate.ConfigurationSeq(committed)
	subscriberCount := s.subscriberCount(now)
	loads, loadsDue := s.endpointLoads.totalsIfDue(now)
	for sub := range s.subscribers {
		keepaliveDue := now-sub.sentAt >= protocol.Keepalive
		if sub.fullUpdateSent && !keepaliveDue && !loadsDue && sub.sentIndex >= s.sessions.Table().ModifyIndex() &&
			sub.sentConfigSeq >= configurationSeq {
			continue
		}
		update := protocol.Update{
			Revision: s.sessions.Table().ModifyIndex(), Subscribers: subscriberCount, Whole: !sub.fullUpdateSent,
			HasLoads: loadsDue, Loads: loads, EchoedAt: sub.echoAt,
		}
		if update.Whole || sub.sentIndex < update.Revision {
			update.Endpoints = s.sessions.Table().ModifiedSince(sub.sentIndex)
		}
		if sub.sentConfigSeq < configurationSeq {
			document := corestate.Configuration(committed.Value).Document
			update.Configuration = &protocol.Configuration{Seq: configurationSeq, Document: document}
		}
		if update.Whole || keepaliveDue {
			update.Members = s.streamMembers(now)
		}
		if !sub.queue(now, update, configurationSeq) {
			s.endStream(sub) // the proxy is too slow: another member sends it a full update
		}
	}
}

// queue adds an update to the queue of the stream. It returns false if the queue is full.
func (sub *subscriber) queue(now time.Duration, update protocol.Update, configSeq uint64) bool {
	select {
	case sub.updates <- update:
	default:
		return false
	}
	sub.fullUpdateSent, sub.sentIndex, sub.sentAt = true, update.Revision, now
	sub.sentConfigSeq = max(sub.sentConfigSeq, configSeq)
	return true
}

// subscriberCount estimates the number of proxies in the system. It sums the known counts, and assumes that each voter
// has at least as many subscribers as this one. An estimate that is too high only makes the retry quota of each proxy
// smaller.
func (s *Server) subscriberCount(now time.Duration) int {
	count := len(s.subscribers)
	for _, peer := range s.peerSubscribers {
		if now-peer.receivedAt < subscriberIdleTimeout {
			count += peer.count
		}
	}
	return max(count, len(s.subscribers)*len(s.chain.View().Voters))
}
