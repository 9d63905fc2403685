package chain

// MemberID identifies one member together with its disk. A member whose disk is lost returns under a new identifier, as it
// has forgotten its promises and its entries.
type MemberID string

// Member describes a member of the core. It is part of messages and records: its field names are fixed.
type Member struct {
	ID MemberID
	// Name is the name of the machine in the deployment.
	Name string
	// Address is where other processes of the system reach the member. It survives the loss of a disk.
	Address string
	// ControlAddress is where endpoints and the operator reach the member.
	ControlAddress string
	// Zone is the failure domain of the machine; empty for none.
	Zone string
}

// View is the agreed membership. It is part of messages and records: its field names are fixed.
type View struct {
	// Number rises by one with each view. It is 0 only in a member that has not yet joined.
	Number uint64
	// Voters agree on the next view.
	Voters []Member
	// Chain is the order of replication, head first. Its members are voters, and a majority of them.
	Chain []MemberID
	// Holder is the lease holder of the singleton role.
	Holder MemberID
	// Token is the lease's fencing token. It rises whenever the holder changes.
	Token uint64
	// FormerHolders are the addresses of the previous lease holders, the latest first, each once.
	FormerHolders []string
}

// Head returns the first member of the chain, or "" if the chain is empty.
func (v *View) Head() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail returns the last member of the chain, or "" if the chain is empty.
func (v *View) Tail() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// Position returns the index of a member in the chain, or -1 if it is not in the chain.
func (v *View) Position(id MemberID) int {
	for i, member := range v.Chain {
		if member == id {
			return i
		}
	}
	return -1
}

// Voter returns the voter with an identifier; ok is false if there is none.
func (v *View) Voter(id MemberID) (voter Member, ok bool) {
	for _, candidate := range v.Voters {
		if candidate.ID == id {
			return candidate, true
		}
	}
	return Member{}, false
}

// Majority returns the number of voters that form a majority.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }
