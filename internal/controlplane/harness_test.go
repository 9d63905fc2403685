package controlplane

import (
	"log/slog"
	"time"

	"dykering/internal/chain"
	"dykering/internal/fleetconfig"
)

// countOperations is a state machine that counts the applied operations in the version of the document.
func countOperations(value any, _ []byte) any {
	seen := value.(*fleetconfig.State).Document.Version
	return &fleetconfig.State{Document: fleetconfig.Document{Version: seen + 1}}
}

// newSingleMember creates a server that is the only member of its core and runs no goroutines.
func newSingleMember() (*Server, chain.Config, chain.Output) {
	view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}}, Chain: []chain.MemberID{"a"}}
	config := chain.Config{Self: view.Voters[0], Apply: countOperations, Jitter: func(d time.Duration) time.Duration { return d }}
	s := &Server{log: slog.New(slog.DiscardHandler), endpointLoads: newEndpointLoadTable(), subscribers: map[*subscriber]bool{}}
	s.placement = newPlacementController(s)
	var out chain.Output
	s.chain, out = chain.NewGenesis(config, 0, view, &fleetconfig.State{})
	return s, config, out
}
