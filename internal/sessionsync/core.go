package sessionsync

import (
	"time"

	"dykering/internal/chain"
)

// Core is a member's view of the core, which is the group of control processes.
type Core struct {
	// Voters are the addresses of the voters, including this member's address if it is a voter.
	Voters []string
	// Majority is the number of voters that form a majority.
	Majority int
	// HasQuorum is true if this member reaches a majority.
	HasQuorum bool
	// IsReachable reports whether the voter at an address is reachable.
	IsReachable func(address string) bool
}

// CoreOf returns the view of the core that a chain node has.
func CoreOf(node *chain.Node, now time.Duration) Core {
	view := node.View()
	core := Core{
		Majority: view.Majority(), HasQuorum: node.HasQuorum(now),
		IsReachable: func(address string) bool { return node.IsReachable(now, address) },
	}
	for _, voter := range view.Voters {
		core.Voters = append(core.Voters, voter.Address)
	}
	return core
}
