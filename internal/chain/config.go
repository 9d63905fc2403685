package chain

import (
	"time"
)

// Config is what a node is started with.
type Config struct {
	Self Member
	// Apply gives the value after an operation. It decides the same everywhere.
	Apply func(value any, operation []byte) any
	// Seeds are the addresses that a member asks which is in no view yet, or cannot reach a majority of its view.
	Seeds []string
	// MaxFailures is how many members may be lost at once.
	MaxFailures int
	// PingInterval is the time between two pings, SuspectTimeout that after which a silent member is suspected.
	PingInterval   time.Duration
	SuspectTimeout time.Duration
	// ProposalTimeout is how long a proposal may take before it is made again.
	ProposalTimeout time.Duration
	// LeaseDuration is how long a majority's word counts for the holder of the singleton role.
	LeaseDuration time.Duration
	// TakeoverDelay is the time after a change of the holder before the new one acts, by when its predecessor has stopped.
	TakeoverDelay time.Duration
	// ReturnDelay is that time for a member that is one of the former holders, so that two do not take turns. It is no
	// shorter than TakeoverDelay.
	ReturnDelay time.Duration
	// FirstNonce is the number of this life's first ping. It is drawn anew for each life of a process, so that a pong which
	// answers a ping of an earlier life answers none of this one.
	FirstNonce uint64
	// Jitter gives a random part of a duration.
	Jitter func(time.Duration) time.Duration
}
