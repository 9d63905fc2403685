package chain

// MemberID names one member with one disk. A member whose disk was lost is another one.
type MemberID string

// Member is a member of the core.
type Member struct {
	ID             MemberID
	Name           string
	Address        string // at which other processes of the system call it
	ControlAddress string // at which endpoints and the operator call it
	Zone           string
}

// View is the agreed membership.
type View struct {
	Number uint64
	Voters []Member
	Chain  []MemberID // head first
	Holder MemberID   // of the singleton role
	Token  uint64     // rises whenever the holder changes
	// FormerHolders are the addresses of the members that held the role before, the latest first, each once.
	FormerHolders []string
}

// Head of the chain; empty for none.
func (v *View) Head() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail of the chain; empty for none.
func (v *View) Tail() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// Position of a member in the chain; -1 for none.
func (v *View) Position(id MemberID) int {
	for i, member := range v.Chain {
		if member == id {
			return i
		}
	}
	return -1
}

// Voter finds a voter.
func (v *View) Voter(id MemberID) (Member, bool) {
	for _, voter := range v.Voters {
		if voter.ID == id {
			return voter, true
		}
	}
	return Member{}, false
}

// Majority is how many voters make a majority.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }
