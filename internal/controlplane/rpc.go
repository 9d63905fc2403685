package controlplane

import (
	"net"
	"time"

	"dykering/internal/chain"
	"dykering/internal/feed"
	"dykering/internal/peerlink"
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
	if subscribe, ok := message.(feed.Subscribe); ok {
		p.serveSubscriber(conn, subscribe)
		return
	}
	if _, ok := message.(feed.StatusAsk); ok {
		p.serveStatus(conn)
		return
	}
	if ask, ok := message.(feed.ExplainAsk); ok {
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
	case feed.SessionUpdate:
		p.onSessionUpdate(m)
	case feed.SessionAck:
		p.onSessionAck(m)
	case feed.SessionPull:
		p.send(m.From, feed.SessionWhole{From: p.node.Self().Address, Records: p.table.AllRecords(p.sessionClock)})
	case feed.SessionWhole:
		p.onSessionWhole(m)
	case feed.LoadShare:
		p.loads.share(now, m)
	case feed.LedgerShare:
		p.placer.hear(now, m)
	case feed.SessionDigest:
		p.onSessionDigest(m)
	case feed.SessionRange:
		p.onSessionRange(m)
	case feed.Subscribers:
		p.elsewhere[m.From] = subscriberCount{count: m.Count, at: now}
	case feed.Write:
		p.writeHere(m.Change, p.replyTo(m.From, m.ID))
	case feed.Read:
		p.readHere(p.replyTo(m.From, m.ID))
	case feed.Reply:
		p.onReply(m)
	case feed.DemandReport:
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

func (p *Process) replyTo(address string, id uint64) func(feed.Reply) {
	return func(reply feed.Reply) {
		reply.ID = id
		p.send(address, reply)
	}
}
