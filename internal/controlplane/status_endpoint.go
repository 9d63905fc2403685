package controlplane

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const statusWithin = 2 * time.Second

// AskStatus asks the control sidecar at an internal address how it sees the system.
func AskStatus(address string) (protocol.Status, error) {
	conn, err := peerlink.Dial(address, statusWithin)
	if err != nil {
		return protocol.Status{}, errors.Wrap(err, "status")
	}
	defer conn.Close()
	if err := conn.Send(protocol.StatusAsk{}, statusWithin); err != nil {
		return protocol.Status{}, errors.Wrap(err, "status")
	}
	message, err := conn.Receive(statusWithin)
	if err != nil {
		return protocol.Status{}, errors.Wrap(err, "status")
	}
	status, ok := message.(protocol.Status)
	if !ok {
		return protocol.Status{}, errors.Errorf("status: %s answers with a %T", address, message)
	}
	return status, nil
}

// serveStatus answers one call for the status.
func (p *Process) serveStatus(conn *peerlink.Conn) {
	told := make(chan protocol.Status, 1)
	p.post(func() { told <- p.status() })
	select {
	case status := <-told:
		if err := conn.Send(status, statusWithin); err != nil {
			p.log.Debug("status.not_sent", "error", err)
		}
	case <-p.ctx.Done():
	}
}

func (p *Process) status() protocol.Status {
	now := p.now()
	committed := p.node.CommittedState()
	_, holds := p.node.HoldsLease(now)
	status := protocol.Status{
		Self: p.node.Self(), View: p.node.View(), InForce: p.node.IsViewConfirmed(now), Sealed: p.node.IsSealed(), Seq: p.node.LatestState().Seq,
		Committed: committed.Seq, Holds: holds, Endpoints: map[sessions.State]int{}, DiskBehind: p.disk.behind(),
	}
	if value, ok := committed.Value.(*fleetconfig.State); ok {
		status.Version = value.Document.Version
	}
	for _, voter := range status.View.Voters {
		status.Members = append(status.Members, protocol.MemberStatus{ID: voter.ID, Reachable: p.node.IsReachable(now, voter.Address),
			InChain: status.View.Position(voter.ID) >= 0})
	}
	for s := range p.subscribers {
		behind := committed.Seq - min(s.acked.ConfigSeq, committed.Seq)
		status.Subscribers = append(status.Subscribers, protocol.SubscriberStatus{Name: s.name, Ack: s.acked, Behind: behind})
	}
	for _, e := range p.table.Endpoints() {
		status.Endpoints[e.State]++
	}
	return status
}
