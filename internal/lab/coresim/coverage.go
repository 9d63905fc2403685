package coresim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Phase is what the core does when a fault begins. The values are headings of the coverage table: they are fixed.
type Phase string

// The phases. If several apply, the first one counts.
const (
	PhaseNoMajority Phase = "no majority runs"
	PhaseAgreeing   Phase = "a view is being agreed on"
	PhaseJoining    Phase = "a member joins"
	PhaseTakeover   Phase = "a new holder waits"
	PhaseWriting    Phase = "a write is under way"
	PhaseCalm       Phase = "calm"
)

var phases = []Phase{PhaseCalm, PhaseWriting, PhaseTakeover, PhaseJoining, PhaseAgreeing, PhaseNoMajority}

// Role is a member's position in the chain. The values are the order of the numbers in the coverage table.
type Role string

// The roles.
const (
	RoleHead    Role = "head"
	RoleMiddle  Role = "middle"
	RoleTail    Role = "tail"
	RoleOutside Role = "outside"
)

var roles = []Role{RoleHead, RoleMiddle, RoleTail, RoleOutside}

// Pair is a kind of fault with the role of the member that it affected and the phase in which it began.
type Pair struct {
	Phase Phase
	Kind  FaultKind
	Role  Role
}

// Coverage is how often each pair was reached.
type Coverage map[Pair]int

// Add adds another coverage to this one.
func (c Coverage) Add(other Coverage) {
	for pair, n := range other {
		c[pair] += n
	}
}

// countFault counts a fault that begins now.
func (sim *Simulation) countFault(kind FaultKind, m *machine) {
	sim.coverage[Pair{Phase: sim.phase(), Kind: kind, Role: m.role()}]++
}

// role returns the position of a machine's member in the chain of its view.
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

// phase returns what the core does now, according to the running members.
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

// Table returns the coverage as a Markdown table: for each kind of fault and phase, how often it affected the head, the
// middle, the tail and a member outside of the chain. A dash stands for a pair that was not reached.
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
