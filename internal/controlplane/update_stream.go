package controlplane

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	streamQueue    = 64
	mostSubscriber = 2048
	// quietSubscriber is how long a subscriber may be quiet; it acknowledges each message.
	quietSubscriber = 5 * time.Second
	streamWrite     = time.Second
)

// subscriber is a sidecar that this one streams updates to.
type subscriber struct {
	name      string
	zone      string
	conn      *peerlink.Conn
	updates   chan protocol.Update
	revision  uint64 // sent
	configSeq uint64 // sent
	sentAt    time.Duration
	begun     bool
	acked     protocol.Ack
}

// serveSubscriber streams updates to a sidecar until either side ends it.
func (p *Process) serveSubscriber(conn *peerlink.Conn, hello protocol.Subscribe) {
	s := &subscriber{name: hello.Name, zone: hello.Zone, conn: conn, configSeq: hello.ConfigSeq, updates: make(chan protocol.Update, streamQueue)}
	p.post(func() { p.addSubscriber(s) })
	go s.write()
	for {
		message, err := conn.Receive(quietSubscriber)
		if err != nil {
			break
		}
		p.post(func() { p.onSubscriber(s, message) })
	}
	p.post(func() { p.dropSubscriber(s) })
}

// write sends the updates. It ends when the queue is closed, and closes the connection.
func (s *subscriber) write() {
	defer s.conn.Close()
	for update := range s.updates {
		if s.conn.Send(update, streamWrite) != nil {
			s.conn.Close()
			for range s.updates { // until the owner has dropped it
			}
			return
		}
	}
}

func (p *Process) addSubscriber(s *subscriber) {
	p.subscribers[s] = true
	if len(p.subscribers) > mostSubscriber || !p.streams(p.now()) || !p.synced {
		p.endStream(s)
	}
}

func (p *Process) dropSubscriber(s *subscriber) {
	if p.subscribers[s] {
		delete(p.subscribers, s)
		p.loads.report(p.now(), s.name, nil)
		close(s.updates)
	}
}

// endStream sends a subscriber to another control sidecar.
func (p *Process) endStream(s *subscriber) {
	select {
	case s.updates <- protocol.Update{Leaving: true, Members: p.controlSidecars(p.now())}:
	default:
	}
	p.dropSubscriber(s)
}

// controlSidecars are the voters of the view, from whom streams may be had.
func (p *Process) controlSidecars(now time.Duration) []protocol.ControlSidecar {
	view := p.node.View()
	sidecars := make([]protocol.ControlSidecar, 0, len(view.Voters))
	for _, voter := range view.Voters {
		sidecars = append(sidecars, protocol.ControlSidecar{Address: voter.Address, Zone: p.node.ZoneOf(now, voter)})
	}
	return sidecars
}

func (p *Process) endStreams() {
	for s := range p.subscribers {
		p.endStream(s)
	}
}

func (p *Process) onSubscriber(s *subscriber, message any) {
	if !p.subscribers[s] {
		return // what was under way when its stream ended: it tells another control sidecar from now on
	}
	switch m := message.(type) {
	case protocol.Ack:
		s.acked = m
	case protocol.DemandReport:
		p.loads.report(p.now(), s.name, m.Loads)
		m.Loads = nil
		p.placer.forward(m)
	}
}

// streams tells whether this member may serve streams: it is in the chain and a majority has confirmed its view.
func (p *Process) streams(now time.Duration) bool {
	return p.node.IsInChain() && p.node.IsCommitKnown() && now-p.node.QuorumConfirmedAt(now) < p.timing.streamSilence
}

// sendUpdates sends what is new to those who have not got it.
func (p *Process) sendUpdates(now time.Duration) {
	if !p.streams(now) {
		if p.node.IsSealed() && p.node.HasQuorum(now) {
			return // the next view is under way
		}
		p.endStreams()
		return
	}
	committed := p.node.CommittedState()
	count := p.subscriberCount(now)
	loads, loadsDue := p.loads.due(now)
	for s := range p.subscribers {
		fresh := !s.begun
		due := now-s.sentAt >= protocol.Keepalive
		if !fresh && !due && !loadsDue && s.revision >= p.table.ModifyIndex() && s.configSeq >= committed.Seq {
			continue
		}
		update := protocol.Update{Revision: p.table.ModifyIndex(), Subscribers: count, Whole: fresh}
		if fresh || s.revision < update.Revision {
			update.Endpoints = p.table.ModifiedSince(s.revision)
		}
		if s.configSeq < committed.Seq {
			document := committed.Value.(*fleetconfig.State).Document
			update.Configuration = &protocol.Configuration{Seq: committed.Seq, Document: document}
		}
		if fresh || due {
			update.Members = p.controlSidecars(now)
		}
		update.HasLoads, update.Loads = loadsDue, loads
		select {
		case s.updates <- update:
			s.begun, s.revision, s.configSeq, s.sentAt = true, update.Revision, max(s.configSeq, committed.Seq), now
		default:
			p.endStream(s) // it does not keep up; it begins anew elsewhere
		}
	}
}

// subscriberCount is how many sidecars carry traffic, as far as is known: at least as many as if each voter had this
// one's. Too many only makes the budget of repeats smaller.
func (p *Process) subscriberCount(now time.Duration) int {
	count := len(p.subscribers)
	for _, other := range p.elsewhere {
		if now-other.at < quietSubscriber {
			count += other.count
		}
	}
	view := p.node.View()
	return max(count, len(p.subscribers)*len(view.Voters))
}
