package controlplane

import (
	"context"
	"log/slog"
	"time"

	"dykering/internal/chain"
	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/ringlog"
	"dykering/internal/sessions"
)

// countOperations is a state machine whose version is the number of operations applied.
func countOperations(value any, _ []byte) any {
	seen := value.(*fleetconfig.State).Document.Version
	return &fleetconfig.State{Document: fleetconfig.Document{Version: seen + 1}}
}

// singleMember makes a server that is the only member of its core and runs no goroutine.
func singleMember() (*Server, chain.Config, chain.Output) {
	view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}}, Chain: []chain.MemberID{"a"}}
	config := chain.Config{Self: view.Voters[0], Apply: countOperations, Jitter: func(d time.Duration) time.Duration { return d }}
	s := &Server{log: slog.New(slog.DiscardHandler), endpointLoads: newEndpointLoadTable(), subscribers: map[*subscriber]bool{}}
	s.placement = newPlacementController(s)
	var out chain.Output
	s.chain, out = chain.NewGenesis(config, 0, view, &fleetconfig.State{})
	return s, config, out
}

// oneOfThree makes a server that is one of three members, reaches both others, and runs no goroutine.
func oneOfThree() *Server {
	s, config, _ := singleMember()
	view := chain.View{
		Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}},
		Chain: []chain.MemberID{"a", "b", "c"},
	}
	config.SuspectTimeout = time.Hour
	s.origin = time.Now()
	s.chain, _ = chain.NewGenesis(config, 0, view, nil)
	for _, envelope := range s.chain.PingVoters(0).ImmediateMessages {
		member, _ := view.Voter(chain.MemberID(envelope.To))
		s.chain.Receive(0, chain.Pong{From: member, Nonce: envelope.Message.(chain.Ping).Nonce, Status: chain.Status{View: 1, Healthy: true}})
	}
	s.sessionTable, s.pendingCalls = sessions.New(time.Hour), newPendingCalls()
	s.pendingDepartures, s.acknowledgedDepartures = map[uint64]*pendingDeparture{}, map[string]sessions.State{}
	s.sessionStore = &sessionStore{ring: &ringlog.Ring{}, log: s.log, snapshots: make(chan sessionSnapshot, 1)}
	s.timing.drainAckTimeout = time.Hour
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.peerLinks = map[string]*peerlink.Link{"b": peerlink.NewLink(ended, "b"), "c": peerlink.NewLink(ended, "c")}
	return s
}

// storeSnapshots stands for the disk: it completes the snapshots of the sessions that are due.
func storeSnapshots(s *Server) {
	s.snapshotSessions(s.now())
	for len(s.sessionStore.snapshots) > 0 {
		s.onSessionsStored((<-s.sessionStore.snapshots).onStored, nil)
	}
}

// acknowledgeDepartures has a peer acknowledge all pending departures.
func acknowledgeDepartures(s *Server, peer string) {
	for number := range s.pendingDepartures {
		s.onSessionAck(protocol.SessionAck{From: peer, Ask: number})
	}
}
