package coresim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Phase is what the core does at the moment that a trouble begins.
type Phase string

// The phases, of which the first that fits counts.
const (
	NoMajority Phase = "no majority runs"
	Agreeing   Phase = "a view is being agreed on"
	Joining    Phase = "a member joins"
	Pausing    Phase = "a new holder waits"
	Writing    Phase = "a write is under way"
	Calm       Phase = "calm"
)

var phases = []Phase{Calm, Writing, Pausing, Joining, Agreeing, NoMajority}

// Role is a member's place in the chain.
type Role string

// The roles.
const (
	HeadRole    Role = "head"
	MiddleRole  Role = "middle"
	TailRole    Role = "tail"
	OutsideRole Role = "outside"
)

var roles = []Role{HeadRole, MiddleRole, TailRole, OutsideRole}

// Pair is a trouble, the role of the member that it struck and the phase in which it began.
type Pair struct {
	Phase Phase
	Kind  FaultKind
	Role  Role
}

// Coverage counts the pairs that were reached.
type Coverage map[Pair]int

// Add adds another count.
func (c Coverage) Add(other Coverage) {
	for pair, n := range other {
		c[pair] += n
	}
}

// note counts a trouble that begins now.
func (sim *Simulation) countFault(kind FaultKind, m *machine) {
	sim.coverage[Pair{Phase: sim.phase(), Kind: kind, Role: m.role()}]++
}

func (m *machine) role() Role {
	view := m.node.View()
	switch position := view.Position(m.node.Self().ID); {
	case position < 0:
		return OutsideRole
	case position == 0:
		return HeadRole
	case position == len(view.Chain)-1:
		return TailRole
	}
	return MiddleRole
}

// phase is what the core does now, as the members that run see it.
func (sim *Simulation) phase() Phase {
	running, agreeing, joining, pausing, writing := 0, false, false, false, false
	voters := 0
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
		return NoMajority
	case agreeing:
		return Agreeing
	case joining:
		return Joining
	case pausing:
		return Pausing
	case writing:
		return Writing
	}
	return Calm
}

// Table lists the pairs as a table in Markdown: for each kind of trouble and phase, how often it struck the head, the
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

// Reached is how many pairs were reached, and Possible how many there are.
func (c Coverage) Reached() int { return len(slices.Collect(maps.Keys(c))) }

// Possible is how many pairs there are.
func Possible() int { return len(phases) * len(faultKinds) * len(roles) }
