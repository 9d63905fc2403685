package controlplane

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/corestate"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

// statusTimeout bounds each network operation of a request from a command-line tool.
const statusTimeout = 2 * time.Second

// AskStatus asks the control process at an internal address for its view of the system.
func AskStatus(address string) (protocol.Status, error) {
	return requestReply[protocol.Status](address, protocol.StatusRequest{}, "status")
}

// requestReply sends a request to a control process and returns its reply. Errors begin with the name of the operation.
func requestReply[Reply any](address string, request any, operation string) (Reply, error) {
	var zero Reply
	conn, err := peerlink.Dial(address, statusTimeout)
	if err != nil {
		return zero, errors.Wrap(err, operation)
	}
	defer conn.Close()
	if err := conn.Send(request, statusTimeout); err != nil {
		return zero, errors.Wrap(err, operation)
	}
	message, err := conn.Receive(statusTimeout)
	if err != nil {
		return zero, errors.Wrap(err, operation)
	}
	reply, ok := message.(Reply)
	if !ok {
		return zero, errors.Errorf("%s: %s answers with a %T", operation, address, message)
	}
	return reply, nil
}

// serveStatus answers a protocol.StatusRequest.
func (s *Server) serveStatus(conn *peerlink.Conn) {
	status, ok := query(s, s.status)
	if !ok {
		return
	}
	if err := conn.Send(status, statusTimeout); err != nil {
		s.log.Debug("status.not_sent", "error", err)
	}
}

// status returns this member's view of the system. Its field names are fixed by gob and by the JSON output of the
// command line.
func (s *Server) status() protocol.Status {
	now := s.now()
	committed := s.chain.CommittedState()
	_, holds := s.chain.HoldsLease(now)
	status := protocol.Status{
		Self: s.chain.Self(), View: s.chain.View(), InForce: s.chain.IsViewConfirmed(now), Sealed: s.chain.IsSealed(),
		Seq: s.chain.LatestState().Seq, Committed: committed.Seq, Holds: holds,
		Endpoints: map[sessions.State]int{}, DiskBehind: s.chainStore.writeDuration(),
		Tolerance: s.toleranceAt(now), Coordination: s.coordination.status(),
	}
	status.Version = corestate.Configuration(committed.Value).Document.Version
	configurationSeq := corestate.ConfigurationSeq(committed)
	for _, voter := range status.View.Voters {
		status.Members = append(status.Members, protocol.MemberStatus{
			ID: voter.ID, Reachable: s.chain.IsReachable(now, voter.Address), InChain: status.View.Position(voter.ID) >= 0,
		})
	}
	for sub := range s.subscribers {
		behind := configurationSeq - min(sub.acked.ConfigSeq, configurationSeq)
		status.Subscribers = append(status.Subscribers, protocol.SubscriberStatus{Name: sub.name, Ack: sub.acked, Behind: behind})
	}
	for _, session := range s.sessions.Table().Endpoints() {
		status.Endpoints[session.State]++
	}
	return status
}
