package controlplane

import (
	"context"
	"net"
	"time"

	"dykering/internal/chain"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	// firstMessageTimeout bounds the time in which the first message of a connection must arrive.
	firstMessageTimeout = 5 * time.Second
	// peerIdleTimeout closes the connection of a peer that has gone. Pings arrive far more often.
	peerIdleTimeout = 30 * time.Second
	// acceptBackoff is the pause after a failed accept. The usual cause is a lack of file descriptors.
	acceptBackoff = 20 * time.Millisecond
	// maxLinks bounds the links to peers. A core has a handful of members, but their addresses come from messages.
	maxLinks = 64
)

// acceptPeers serves connections from other processes of the system until this process ends.
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

// servePeer serves one connection until the connection or the process ends. The first message determines its use: the
// update stream of a proxy, a request of a command-line tool, or the messages of a peer.
func (s *Server) servePeer(conn *peerlink.Conn) {
	defer conn.Close()
	defer context.AfterFunc(s.ctx, func() { conn.Close() })()
	message, err := conn.Receive(firstMessageTimeout)
	if err != nil {
		return
	}
	switch m := message.(type) {
	case protocol.Subscribe:
		s.serveSubscriber(conn, m)
	case protocol.StatusRequest:
		s.serveStatus(conn)
	case protocol.ExplainRequest:
		s.serveExplain(conn, m)
	case protocol.LockExplainRequest:
		s.serveLockExplain(conn, m)
	default:
		s.servePeerMessages(conn, message)
	}
}

// servePeerMessages dispatches the messages of a peer, starting with the first one, until the connection ends.
func (s *Server) servePeerMessages(conn *peerlink.Conn, message any) {
	var err error
	for err == nil {
		received := message
		s.enqueue(func() { s.dispatch(received) })
		message, err = conn.Receive(peerIdleTimeout)
	}
}

// dispatch handles a message of a peer. It ignores messages of unknown types, which later versions may send.
func (s *Server) dispatch(message any) {
	now := s.now()
	switch m := message.(type) {
	case protocol.SessionUpdate, protocol.SessionAck, protocol.SessionSnapshotRequest, protocol.SessionSnapshot,
		protocol.SessionDigest, protocol.SessionRange:
		s.receiveSessions(now, m)
	case protocol.EndpointLoadSync:
		s.endpointLoads.applyPeerLoads(now, m)
	case protocol.LoadLedgerSync:
		s.placement.holder.ReceiveSync(now, m)
	case protocol.SubscriberCount:
		s.peerSubscribers[m.From] = peerSubscriberCount{count: m.Count, receivedAt: now}
	case protocol.Write:
		s.proposeAtHead(m.Change, s.replyTo(m.From, m.ID))
	case protocol.Read:
		s.readAtTail(s.replyTo(m.From, m.ID))
	case protocol.CoordinationWrite:
		s.coordination.receiveWrite(now, m)
	case protocol.CoordinationRead:
		s.coordination.readAtTail(m.Cell, m.Group, s.replyTo(m.From, m.ID))
	case protocol.Reply:
		s.onReply(m)
	case protocol.DemandReport:
		s.placement.applyDemand(m)
	case chain.Ping:
		s.wakeLink(now, m.From.Address)
		s.applyChainOutput(s.chain.Receive(now, m))
	case chain.Pong, chain.Prepare, chain.Promise, chain.Reject, chain.Accept, chain.AcceptedReply, chain.Install,
		chain.Append, chain.Committed:
		s.applyChainOutput(s.chain.Receive(now, m))
	}
}

// wakeLink dials a peer at once if the peer pings although it counted as unreachable. Otherwise the link would wait for
// its backoff to end, and the peer would stay out of the view for that long.
func (s *Server) wakeLink(now time.Duration, address string) {
	if link := s.peerLinks[address]; link != nil && !s.chain.IsReachable(now, address) {
		link.Wake()
	}
}

// replyTo returns a function that sends the reply to a call of a peer.
func (s *Server) replyTo(address string, id uint64) func(protocol.Reply) {
	return func(reply protocol.Reply) {
		reply.ID = id
		s.send(address, reply)
	}
}

// send queues a message to a peer without blocking. A message that cannot be delivered is dropped.
func (s *Server) send(address string, message any) {
	if address == "" || address == s.chain.Self().Address {
		return
	}
	link := s.peerLinks[address]
	if link == nil {
		if len(s.peerLinks) >= maxLinks {
			s.closeLinks()
		}
		link = peerlink.NewLink(s.ctx, address)
		s.peerLinks[address] = link
	}
	link.Send(message)
}

// broadcast queues a message to all other voters of the view.
func (s *Server) broadcast(message any) {
	for _, peer := range s.peerAddresses() {
		s.send(peer, message)
	}
}

// closeLinks closes the links to all peers. The next message to a peer opens a new link.
func (s *Server) closeLinks() {
	for address, link := range s.peerLinks {
		link.Close()
		delete(s.peerLinks, address)
	}
}

// peerAddresses returns the addresses of the other voters of the view.
func (s *Server) peerAddresses() []string {
	var addresses []string
	view := s.chain.View()
	for _, voter := range view.Voters {
		if voter.Address != s.chain.Self().Address {
			addresses = append(addresses, voter.Address)
		}
	}
	return addresses
}
