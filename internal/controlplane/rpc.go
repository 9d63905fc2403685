package controlplane

import (
	"net"
	"time"

	"dykering/internal/chain"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	firstMessageTimeout = 5 * time.Second
	// quietLink is how long a link of a peer may be quiet. Pings come far more often.
	peerIdleTimeout = 30 * time.Second
	acceptBackoff   = 20 * time.Millisecond
)

// acceptPeers serves connections of other processes of the system.
func (s *Server) acceptPeers(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptBackoff)
			continue
		}
		go s.servePeer(peerlink.NewConn(raw))
	}
}

// servePeer serves one connection: a subscriber's, or a peer's that carries its messages.
func (s *Server) servePeer(conn *peerlink.Conn) {
	defer conn.Close()
	message, err := conn.Receive(firstMessageTimeout)
	if err != nil {
		return
	}
	if subscribe, ok := message.(protocol.Subscribe); ok {
		s.serveSubscriber(conn, subscribe)
		return
	}
	if _, ok := message.(protocol.StatusRequest); ok {
		s.serveStatus(conn)
		return
	}
	if ask, ok := message.(protocol.ExplainRequest); ok {
		s.serveExplain(conn, ask)
		return
	}
	for err == nil {
		received := message
		s.enqueue(func() { s.dispatch(received) })
		message, err = conn.Receive(peerIdleTimeout)
	}
}

// receive takes a message of a peer.
func (s *Server) dispatch(message any) {
	now := s.now()
	switch m := message.(type) {
	case protocol.SessionUpdate:
		s.onSessionUpdate(m)
	case protocol.SessionAck:
		s.onSessionAck(m)
	case protocol.SessionSnapshotRequest:
		s.send(m.From, protocol.SessionSnapshot{From: s.chain.Self().Address, Records: s.table.AllRecords(s.sessionClock)})
	case protocol.SessionSnapshot:
		s.onSessionFullSync(m)
	case protocol.EndpointLoadSync:
		s.endpointLoads.applyPeerLoads(now, m)
	case protocol.LoadLedgerSync:
		s.placement.applyPeerLedger(now, m)
	case protocol.SessionDigest:
		s.onSessionDigest(m)
	case protocol.SessionRange:
		s.onSessionRange(m)
	case protocol.SubscriberCount:
		s.peerSubscribers[m.From] = peerSubscriberCount{count: m.Count, receivedAt: now}
	case protocol.Write:
		s.proposeAtHead(m.Change, s.replyTo(m.From, m.ID))
	case protocol.Read:
		s.readAtTail(s.replyTo(m.From, m.ID))
	case protocol.Reply:
		s.onReply(m)
	case protocol.DemandReport:
		s.placement.applyDemand(m)
	case chain.Ping:
		if link := s.links[m.From.Address]; link != nil && !s.chain.IsReachable(now, m.From.Address) {
			link.Wake()
		}
		s.applyOutput(s.chain.Receive(now, m))
	case chain.Pong, chain.Prepare, chain.Promise, chain.Reject, chain.Accept, chain.AcceptedReply, chain.Install,
		chain.Append, chain.Committed:
		s.applyOutput(s.chain.Receive(now, m))
	}
}

func (s *Server) replyTo(address string, id uint64) func(protocol.Reply) {
	return func(reply protocol.Reply) {
		reply.ID = id
		s.send(address, reply)
	}
}
