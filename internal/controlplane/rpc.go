package controlplane

import (
	"net"
	"time"

	"dykering/internal/chain"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	firstMessageWithin = 5 * time.Second
	// quietLink is how long a link of a peer may be quiet. Pings come far more often.
	quietLink   = 30 * time.Second
	acceptPause = 20 * time.Millisecond
)

// acceptPeers serves connections of other processes of the system.
func (p *Process) acceptPeers(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			if p.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		go p.servePeer(peerlink.NewConn(raw))
	}
}

// servePeer serves one connection: a subscriber's, or a peer's that carries its messages.
func (p *Process) servePeer(conn *peerlink.Conn) {
	defer conn.Close()
	message, err := conn.Receive(firstMessageWithin)
	if err != nil {
		return
	}
	if subscribe, ok := message.(protocol.Subscribe); ok {
		p.serveSubscriber(conn, subscribe)
		return
	}
	if _, ok := message.(protocol.StatusAsk); ok {
		p.serveStatus(conn)
		return
	}
	if ask, ok := message.(protocol.ExplainAsk); ok {
		p.serveExplain(conn, ask)
		return
	}
	for err == nil {
		received := message
		p.post(func() { p.receive(received) })
		message, err = conn.Receive(quietLink)
	}
}

// receive takes a message of a peer.
func (p *Process) receive(message any) {
	now := p.now()
	switch m := message.(type) {
	case protocol.SessionUpdate:
		p.onSessionUpdate(m)
	case protocol.SessionAck:
		p.onSessionAck(m)
	case protocol.SessionPull:
		p.send(m.From, protocol.SessionWhole{From: p.node.Self().Address, Records: p.table.AllRecords(p.sessionClock)})
	case protocol.SessionWhole:
		p.onSessionWhole(m)
	case protocol.LoadShare:
		p.loads.share(now, m)
	case protocol.LedgerShare:
		p.placer.hear(now, m)
	case protocol.SessionDigest:
		p.onSessionDigest(m)
	case protocol.SessionRange:
		p.onSessionRange(m)
	case protocol.Subscribers:
		p.elsewhere[m.From] = subscriberCount{count: m.Count, at: now}
	case protocol.Write:
		p.writeHere(m.Change, p.replyTo(m.From, m.ID))
	case protocol.Read:
		p.readHere(p.replyTo(m.From, m.ID))
	case protocol.Reply:
		p.onReply(m)
	case protocol.DemandReport:
		p.placer.report(m)
	case chain.Ping:
		if link := p.links[m.From.Address]; link != nil && !p.node.IsReachable(now, m.From.Address) {
			link.Wake()
		}
		p.carryOut(p.node.Receive(now, m))
	case chain.Pong, chain.Prepare, chain.Promise, chain.Reject, chain.Accept, chain.AcceptedReply, chain.Install,
		chain.Append, chain.Committed:
		p.carryOut(p.node.Receive(now, m))
	}
}

func (p *Process) replyTo(address string, id uint64) func(protocol.Reply) {
	return func(reply protocol.Reply) {
		reply.ID = id
		p.send(address, reply)
	}
}
