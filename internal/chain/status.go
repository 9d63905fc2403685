package chain

func (n *Node) status() Status {
	return Status{View: n.view.Number, Sealed: n.IsSealed(), Healthy: n.diskHealthy && !n.leaving, Leaving: n.leaving, Stored: n.persistedView, Seq: n.state.Seq, Committed: n.committed}
}

// Self is this member.
func (n *Node) Self() Member { return n.self }

// View is the view in force here.
func (n *Node) View() View { return n.view }

// IsSealed tells whether this member has promised to take part in a next view.
func (n *Node) IsSealed() bool { return n.promisedNumber != ProposalNumber{} }

// IsInChain tells whether this member is in the chain of its view.
func (n *Node) IsInChain() bool { return n.view.Position(n.self.ID) >= 0 }

// IsHead and IsTail tell this member's place in the chain.
func (n *Node) IsHead() bool { return n.view.Number > 0 && n.view.Head() == n.self.ID }

// IsTail tells whether this member is the tail.
func (n *Node) IsTail() bool { return n.view.Number > 0 && n.view.Tail() == n.self.ID }

func (n *Node) isVoter() bool {
	_, ok := n.view.Voter(n.self.ID)
	return ok
}
