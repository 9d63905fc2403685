package chain

// Self returns this member.
func (n *Node) Self() Member { return n.self }

// View returns the view in force at this member. Other members may already have a later view.
func (n *Node) View() View { return n.view }

// IsSealed reports whether this member has promised a proposal number for the next view. A sealed member accepts no more
// writes in the current view.
func (n *Node) IsSealed() bool { return n.promisedNumber != ProposalNumber{} }

// IsInChain reports whether this member is in the chain of its view.
func (n *Node) IsInChain() bool { return n.view.Position(n.self.ID) >= 0 }

// IsHead reports whether this member is the head of the chain of its view.
func (n *Node) IsHead() bool { return n.view.Number > 0 && n.view.Head() == n.self.ID }

// IsTail reports whether this member is the tail of the chain of its view.
func (n *Node) IsTail() bool { return n.view.Number > 0 && n.view.Tail() == n.self.ID }

// OperationVersion returns the highest version of operations that every member of the chain understands. A member that has not
// reported a status yet counts as a member that understands only version 0.
func (n *Node) OperationVersion() int {
	lowest := n.config.OperationVersion
	for _, id := range n.view.Chain {
		if id == n.self.ID {
			continue
		}
		version := 0
		if voter, ok := n.view.Voter(id); ok {
			if p := n.knownPeer(voter); p != nil {
				version = p.status.OperationVersion
			}
		}
		lowest = min(lowest, version)
	}
	return lowest
}

func (n *Node) isVoter() bool {
	_, ok := n.view.Voter(n.self.ID)
	return ok
}

// status returns the status that this member reports to the other members.
func (n *Node) status() Status {
	return Status{
		View:        n.view.Number,
		Sealed:      n.IsSealed(),
		Healthy:     n.diskHealthy && !n.leaving,
		DiskHealthy: n.diskHealthy,
		Leaving:     n.leaving,
		Stored:      n.persistedView,
		Seq:         n.state.Seq,
		Committed:   n.committed,

		OperationVersion: n.config.OperationVersion,
	}
}
