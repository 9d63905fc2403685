package membership

import (
	"fmt"
	"time"
)

// State is what the view holds of a member.
type State uint8

// The states, as SWIM names them. Left is a member that said it goes; Dead one that stopped answering.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

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

// MarshalText writes a state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads it.
func (s *State) UnmarshalText(text []byte) error {
	for k := Alive; k <= Left; k++ {
		if k.String() == string(text) {
			*s = k
			return nil
		}
	}
	return fmt.Errorf("%q is no state of a member", text)
}

// gone tells whether a member in this state takes no part in the fleet.
func (s State) gone() bool { return s == Dead || s == Left }

// Meta is what a member tells of itself. It travels in memberlist's node meta, 512 bytes at most.
type Meta struct {
	Zone    string    `json:"z,omitempty"`
	Tier    string    `json:"t,omitempty"`
	Version string    `json:"v,omitempty"` // the build
	Started time.Time `json:"s"`           // when its process started: a new process under an old id is newer
	Weight  uint16    `json:"w"`           // its part of fleet-wide budgets, 1 by default
}

// Member is one broker as the view holds it.
type Member struct {
	ID          string
	Addr        string // host:port of its gossip
	Incarnation uint32
	State       State
	Meta        Meta
	Since       time.Time // of its state
}

// Observation is what the gossip says of one member now.
type Observation struct {
	ID          string
	Addr        string
	Incarnation uint32
	State       State
	Meta        Meta
}
