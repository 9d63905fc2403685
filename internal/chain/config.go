package chain

import (
	"time"
)

// Config configures a Node. All durations must be positive, except TakeoverDelay and ReturnDelay, which may be zero.
type Config struct {
	// Self is this member.
	Self Member
	// Apply returns the value after an operation. It must be deterministic and must not modify the given value.
	Apply func(value any, operation []byte) any
	// OperationVersion is the highest version of operations that Apply understands. Before a caller proposes an operation of
	// some version, it checks Node.OperationVersion: a member that does not understand the operation would reach a different
	// state than the other members.
	OperationVersion int
	// Seeds are the addresses that a member pings while it is in no view or reaches no majority of its view's voters.
	Seeds []string
	// MaxFailures is the number f of members that may fail at the same time. The target number of voters is 2f+1.
	MaxFailures int

	// PingInterval is the time between two pings of the same member.
	PingInterval time.Duration
	// SuspectTimeout is the time without an answer to a ping after which the failure detector suspects a member.
	SuspectTimeout time.Duration
	// ProposalTimeout is the time after which a proposer abandons an undecided proposal. Before a voter proposes, it also
	// waits this long for each eligible voter that ranks before it.
	ProposalTimeout time.Duration

	// LeaseDuration is how long the lease holder may act after a majority has confirmed its view.
	LeaseDuration time.Duration
	// TakeoverDelay is how long a new lease holder waits before it acts. It is at least LeaseDuration plus the time that a
	// holder may need to notice that its lease has expired, so that the previous holder has stopped by then.
	TakeoverDelay time.Duration
	// ReturnDelay replaces TakeoverDelay for a member that has held the lease before, so that the role does not alternate
	// between members. It is at least TakeoverDelay.
	ReturnDelay time.Duration

	// FirstNonce precedes the nonces of this incarnation's pings. The caller chooses a new random value each time that a
	// process starts, so that a delayed pong to an earlier incarnation matches no ping of this one.
	FirstNonce uint64
	// Jitter returns a random duration of at most its argument.
	Jitter func(time.Duration) time.Duration
}
