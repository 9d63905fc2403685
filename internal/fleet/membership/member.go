package membership

import (
	"fmt"
	"time"
)

// State is the state of a member in a view. Messages carry the state's name, not its number.
type State uint8

// The states of SWIM. A member in state Left announced its departure; a member in state Dead stopped answering probes.
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

// MarshalText encodes the state as its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state from its name.
func (s *State) UnmarshalText(text []byte) error {
	for state := Alive; state <= Left; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("unknown member state %q", text)
}

// hasDeparted reports whether a member in this state is no longer part of the fleet.
func (s State) hasDeparted() bool { return s == Dead || s == Left }

// Meta is the metadata that a member announces about itself. It is sent as JSON in memberlist's node metadata, which is
// limited to 512 bytes. The JSON keys are part of the wire format.
type Meta struct {
	Zone    string `json:"z,omitempty"`
	Tier    string `json:"t,omitempty"`
	Version string `json:"v,omitempty"` // Version is the version of the build.
	// Started is the start time of the process. A later process replaces an earlier one with the same ID.
	Started time.Time `json:"s"`
	Weight  uint16    `json:"w"` // Weight is the member's share weight in fleet-wide budgets.
}

// Member is the state of one broker in a view. Its field names are JSON keys of the view that the control address serves.
type Member struct {
	ID          string
	Addr        string // Addr is the host and port of the member's gossip.
	Incarnation uint32
	State       State
	Meta        Meta
	Since       time.Time // Since is when the member entered its state.
}

// Observation is the state of a member as the gossip reports it at one time.
type Observation struct {
	ID          string
	Addr        string
	Incarnation uint32
	State       State
	Meta        Meta
}
