package chain

// MemberID identifies one member together with its disk. A member that loses its disk returns under a new identifier, because
// it has lost its promises and its entries.
type MemberID string

// Member describes a member of the control plane. It is part of messages and records, so its field names are fixed.
type Member struct {
	ID MemberID
	// Name is the name of the machine in the deployment.
	Name string
	// Address is the host:port at which other processes of the system reach the member. A member that has lost its disk
	// returns at the same address.
	Address string
	// ControlAddress is the host:port at which endpoints and operators reach the member.
	ControlAddress string
	// Zone is the failure domain of the machine, or "" if it has none.
	Zone string
}

// View is the agreed membership. It is part of messages and records, so its field names are fixed.
type View struct {
	// Number increases by one with each view. It is 0 only in a member that has not joined yet.
	Number uint64
	// Voters are the members that agree on the next view.
	Voters []Member
	// Chain is the order of replication, head first. Its members are a majority or more of the voters.
	Chain []MemberID
	// Holder is the lease holder of the singleton role.
	Holder MemberID
	// Token is the fencing token of the lease. It increases whenever the holder changes.
	Token uint64
	// FormerHolders are the addresses of the previous lease holders without duplicates, the most recent one first.
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

// Position returns the index of a member in the chain, or -1 if the member is not in the chain.
func (v *View) Position(id MemberID) int {
	for i, member := range v.Chain {
		if member == id {
			return i
		}
	}
	return -1
}

// Voter returns the voter with the given identifier. If there is no such voter, ok is false.
func (v *View) Voter(id MemberID) (voter Member, ok bool) {
	for _, candidate := range v.Voters {
		if candidate.ID == id {
			return candidate, true
		}
	}
	return Member{}, false
}

// Majority returns the smallest number of voters that form a majority.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }
