package membership

import (
	"fmt"
	"time"
)

// State is the state of a member in a view. Its names, not its numbers, are on the wire.
type State uint8

// The states of SWIM. A member that has Left announced it; one that is Dead stopped answering.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for state := Alive; state <= Left; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("%q is no state of a member", text)
}

// hasDeparted reports whether a member in this state takes no part in the fleet.
func (s State) hasDeparted() bool { return s == Dead || s == Left }

// Meta is what a member announces about itself. It travels as JSON in memberlist's node metadata, of which there are at
// most 512 bytes; its keys are on the wire.
type Meta struct {
	Zone    string    `json:"z,omitempty"`
	Tier    string    `json:"t,omitempty"`
	Version string    `json:"v,omitempty"` // Version is that of the build.
	Started time.Time `json:"s"`           // Started is the start of the process: a later one under the same ID replaces an earlier one.
	Weight  uint16    `json:"w"`           // Weight is the member's share weight in fleet-wide budgets.
}

// Member is a broker as the view holds it. Its field names are JSON keys of the view that the control address serves.
type Member struct {
	ID          string
	Addr        string // Addr is the host and port of its gossip.
	Incarnation uint32
	State       State
	Meta        Meta
	Since       time.Time // Since is when the member entered its state.
}

// Observation is what the gossip reports of a member at a time.
type Observation struct {
	ID          string
	Addr        string
	Incarnation uint32
	State       State
	Meta        Meta
}
