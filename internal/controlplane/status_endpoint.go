package controlplane

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

const statusTimeout = 2 * time.Second

// AskStatus asks the control sidecar at an internal address how it sees the system.
func AskStatus(address string) (protocol.Status, error) {
	conn, err := peerlink.Dial(address, statusTimeout)
	if err != nil {
		return protocol.Status{}, errors.Wrap(err, "status")
	}
	defer conn.Close()
	if err := conn.Send(protocol.StatusRequest{}, statusTimeout); err != nil {
		return protocol.Status{}, errors.Wrap(err, "status")
	}
	message, err := conn.Receive(statusTimeout)
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
func (s *Server) serveStatus(conn *peerlink.Conn) {
	told := make(chan protocol.Status, 1)
	s.enqueue(func() { told <- s.status() })
	select {
	case status := <-told:
		if err := conn.Send(status, statusTimeout); err != nil {
			s.log.Debug("status.not_sent", "error", err)
		}
	case <-s.ctx.Done():
	}
}

func (s *Server) status() protocol.Status {
	now := s.now()
	committed := s.chain.CommittedState()
	_, holds := s.chain.HoldsLease(now)
	status := protocol.Status{
		Self: s.chain.Self(), View: s.chain.View(), InForce: s.chain.IsViewConfirmed(now), Sealed: s.chain.IsSealed(), Seq: s.chain.LatestState().Seq,
		Committed: committed.Seq, Holds: holds, Endpoints: map[sessions.State]int{}, DiskBehind: s.chainStore.writeDuration(),
	}
	if value, ok := committed.Value.(*fleetconfig.State); ok {
		status.Version = value.Document.Version
	}
	for _, voter := range status.View.Voters {
		status.Members = append(status.Members, protocol.MemberStatus{ID: voter.ID, Reachable: s.chain.IsReachable(now, voter.Address),
			InChain: status.View.Position(voter.ID) >= 0})
	}
	for sub := range s.subscribers {
		behind := committed.Seq - min(sub.acked.ConfigSeq, committed.Seq)
		status.Subscribers = append(status.Subscribers, protocol.SubscriberStatus{Name: sub.name, Ack: sub.acked, Behind: behind})
	}
	for _, e := range s.table.Endpoints() {
		status.Endpoints[e.State]++
	}
	return status
}
