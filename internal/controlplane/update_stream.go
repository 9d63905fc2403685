package controlplane

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	updateQueueLength = 64
	maxSubscribers    = 2048
	// quietSubscriber is how long a subscriber may be quiet; it acknowledges each message.
	subscriberIdleTimeout = 5 * time.Second
	updateWriteTimeout    = time.Second
)

// subscriber is a sidecar that this one streams updates to.
type subscriber struct {
	name          string
	zone          string
	conn          *peerlink.Conn
	updates       chan protocol.Update
	sentIndex     uint64 // sent
	sentConfigSeq uint64 // sent
	sentAt        time.Duration
	fullSyncSent  bool
	acked         protocol.Ack
}

// serveSubscriber streams updates to a sidecar until either side ends it.
func (s *Server) serveSubscriber(conn *peerlink.Conn, hello protocol.Subscribe) {
	sub := &subscriber{name: hello.Name, zone: hello.Zone, conn: conn, sentConfigSeq: hello.ConfigSeq, updates: make(chan protocol.Update, updateQueueLength)}
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

// write sends the updates. It ends when the queue is closed, and closes the connection.
func (sub *subscriber) writeUpdates() {
	defer sub.conn.Close()
	for update := range sub.updates {
		if sub.conn.Send(update, updateWriteTimeout) != nil {
			sub.conn.Close()
			for range sub.updates { // until the owner has dropped it
			}
			return
		}
	}
}

func (s *Server) addSubscriber(sub *subscriber) {
	s.subscribers[sub] = true
	if len(s.subscribers) > maxSubscribers || !s.canStream(s.now()) || !s.synced {
		s.endStream(sub)
	}
}

func (s *Server) removeSubscriber(sub *subscriber) {
	if s.subscribers[sub] {
		delete(s.subscribers, sub)
		s.endpointLoads.applyReport(s.now(), sub.name, nil)
		close(sub.updates)
	}
}

// endStream sends a subscriber to another control sidecar.
func (s *Server) endStream(sub *subscriber) {
	select {
	case sub.updates <- protocol.Update{Leaving: true, Members: s.controlSidecars(s.now())}:
	default:
	}
	s.removeSubscriber(sub)
}

// controlSidecars are the voters of the view, from whom streams may be had.
func (s *Server) controlSidecars(now time.Duration) []protocol.ControlProcess {
	view := s.chain.View()
	sidecars := make([]protocol.ControlProcess, 0, len(view.Voters))
	for _, voter := range view.Voters {
		sidecars = append(sidecars, protocol.ControlProcess{Address: voter.Address, Zone: s.chain.ZoneOf(now, voter)})
	}
	return sidecars
}

func (s *Server) endStreams() {
	for sub := range s.subscribers {
		s.endStream(sub)
	}
}

func (s *Server) onSubscriberMessage(sub *subscriber, message any) {
	if !s.subscribers[sub] {
		return // what was under way when its stream ended: it tells another control sidecar from now on
	}
	switch m := message.(type) {
	case protocol.Ack:
		sub.acked = m
	case protocol.DemandReport:
		s.endpointLoads.applyReport(s.now(), sub.name, m.Loads)
		m.Loads = nil
		s.placement.forwardDemand(m)
	}
}

// streams tells whether this member may serve streams: it is in the chain and a majority has confirmed its view.
func (s *Server) canStream(now time.Duration) bool {
	return s.chain.IsInChain() && s.chain.IsCommitKnown() && now-s.chain.QuorumConfirmedAt(now) < s.timing.maxUnconfirmed
}

// sendUpdates sends what is new to those who have not got it.
func (s *Server) streamUpdates(now time.Duration) {
	if !s.canStream(now) {
		if s.chain.IsSealed() && s.chain.HasQuorum(now) {
			return // the next view is under way
		}
		s.endStreams()
		return
	}
	committed := s.chain.CommittedState()
	count := s.subscriberCount(now)
	loads, loadsDue := s.endpointLoads.totalsIfDue(now)
	for sub := range s.subscribers {
		fresh := !sub.fullSyncSent
		due := now-sub.sentAt >= protocol.Keepalive
		if !fresh && !due && !loadsDue && sub.sentIndex >= s.table.ModifyIndex() && sub.sentConfigSeq >= committed.Seq {
			continue
		}
		update := protocol.Update{Revision: s.table.ModifyIndex(), Subscribers: count, Whole: fresh}
		if fresh || sub.sentIndex < update.Revision {
			update.Endpoints = s.table.ModifiedSince(sub.sentIndex)
		}
		if sub.sentConfigSeq < committed.Seq {
			document := committed.Value.(*fleetconfig.State).Document
			update.Configuration = &protocol.Configuration{Seq: committed.Seq, Document: document}
		}
		if fresh || due {
			update.Members = s.controlSidecars(now)
		}
		update.HasLoads, update.Loads = loadsDue, loads
		select {
		case sub.updates <- update:
			sub.fullSyncSent, sub.sentIndex, sub.sentConfigSeq, sub.sentAt = true, update.Revision, max(sub.sentConfigSeq, committed.Seq), now
		default:
			s.endStream(sub) // it does not keep up; it begins anew elsewhere
		}
	}
}

// subscriberCount is how many sidecars carry traffic, as far as is known: at least as many as if each voter had this
// one's. Too many only makes the budget of repeats smaller.
func (s *Server) subscriberCount(now time.Duration) int {
	count := len(s.subscribers)
	for _, other := range s.peerSubscribers {
		if now-other.receivedAt < subscriberIdleTimeout {
			count += other.count
		}
	}
	view := s.chain.View()
	return max(count, len(s.subscribers)*len(view.Voters))
}
