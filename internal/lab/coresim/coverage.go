package coresim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Phase is the activity of the core when a fault begins. The values are headings of the coverage table and must not change.
type Phase string

// The phases. If several apply, the first of them is used.
const (
	PhaseNoMajority Phase = "no majority runs"
	PhaseAgreeing   Phase = "a view is being agreed on"
	PhaseJoining    Phase = "a member joins"
	PhaseTakeover   Phase = "a new holder waits"
	PhaseWriting    Phase = "a write is under way"
	PhaseCalm       Phase = "calm"
)

// phases are all phases, in the order of the columns of the coverage table.
var phases = []Phase{PhaseCalm, PhaseWriting, PhaseTakeover, PhaseJoining, PhaseAgreeing, PhaseNoMajority}

// Role is a member's position in the chain.
type Role string

// The roles.
const (
	RoleHead    Role = "head"
	RoleMiddle  Role = "middle"
	RoleTail    Role = "tail"
	RoleOutside Role = "outside"
)

// roles are all roles, in the order of the numbers in a cell of the coverage table.
var roles = []Role{RoleHead, RoleMiddle, RoleTail, RoleOutside}

// Pair identifies a situation: a kind of fault, the role of the affected member and the phase in which the fault began.
type Pair struct {
	Phase Phase
	Kind  FaultKind
	Role  Role
}

// Coverage counts how often each pair was reached.
type Coverage map[Pair]int

// Add adds the counts of another coverage.
func (c Coverage) Add(other Coverage) {
	for pair, n := range other {
		c[pair] += n
	}
}

// countFault counts a fault that begins now.
func (sim *Simulation) countFault(kind FaultKind, m *machine) {
	sim.coverage[Pair{Phase: sim.phase(), Kind: kind, Role: m.role()}]++
}

// role returns the position of a machine's member in the chain of the view that the member has.
func (m *machine) role() Role {
	view := m.node.View()
	switch position := view.Position(m.node.Self().ID); {
	case position < 0:
		return RoleOutside
	case position == 0:
		return RoleHead
	case position == len(view.Chain)-1:
		return RoleTail
	}
	return RoleMiddle
}

// phase returns the phase of the core now, derived from the states of the running members.
func (sim *Simulation) phase() Phase {
	var agreeing, joining, pausing, writing bool
	running, voters := 0, 0
	for _, m := range sim.machines {
		if m.removed || !m.isRunning() {
			continue
		}
		running++
		view := m.node.View()
		voters = max(voters, len(view.Voters))
		agreeing = agreeing || m.node.IsSealed()
		joining = joining || !m.node.IsInChain()
		_, holds := m.node.HoldsLease(sim.now)
		pausing = pausing || view.Holder == m.node.Self().ID && !holds
		writing = writing || m.node.IsHead() && m.node.LatestState().Seq > m.node.CommittedSeq()
	}
	switch {
	case running <= voters/2:
		return PhaseNoMajority
	case agreeing:
		return PhaseAgreeing
	case joining:
		return PhaseJoining
	case pausing:
		return PhaseTakeover
	case writing:
		return PhaseWriting
	}
	return PhaseCalm
}

// Table returns the coverage as a Markdown table. For each kind of fault and phase it shows how often the fault affected the
// head, a middle member, the tail and a member outside of the chain. A dash means that the pair was not reached.
func (c Coverage) Table() string {
	var text strings.Builder
	text.WriteString("| trouble | " + strings.Join(asStrings(phases), " | ") + " |\n|" + strings.Repeat(" --- |", len(phases)+1) + "\n")
	for _, kind := range faultKinds {
		text.WriteString("| " + string(kind))
		for _, phase := range phases {
			var cells []string
			for _, role := range roles {
				cells = append(cells, countOrDash(c[Pair{Phase: phase, Kind: kind, Role: role}]))
			}
			text.WriteString(" | " + strings.Join(cells, " / "))
		}
		text.WriteString(" |\n")
	}
	return text.String()
}

func asStrings[T ~string](values []T) []string {
	out := make([]string, 0, len(values))
	for _, value := range values {
		out = append(out, string(value))
	}
	return out
}

func countOrDash(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// Reached returns the number of pairs that were reached.
func (c Coverage) Reached() int { return len(slices.Collect(maps.Keys(c))) }

// Possible returns the number of pairs that exist.
func Possible() int { return len(phases) * len(faultKinds) * len(roles) }
