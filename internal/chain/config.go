package chain

import (
	"time"
)

// Config configures a Node. All durations must be positive except the two delays, which may be zero.
type Config struct {
	// Self is this member.
	Self Member
	// Apply returns the value after an operation. It must be deterministic and must not modify the given value.
	Apply func(value any, operation []byte) any
	// OperationVersion is the highest version of operations that Apply understands. A caller that proposes an operation of a
	// version asks Node.OperationVersion first: a member that does not understand it would come to another state.
	OperationVersion int
	// Seeds are the addresses that a member pings while it is in no view, or reaches no majority of its view's voters.
	Seeds []string
	// MaxFailures is the number f of members that may fail at the same time. The core aims at 2f+1 voters.
	MaxFailures int

	// PingInterval is the time between two pings of the same member.
	PingInterval time.Duration
	// SuspectTimeout is the time without an answer after which the failure detector suspects a member.
	SuspectTimeout time.Duration
	// ProposalTimeout is the time after which an undecided proposal is given up. A voter also waits for this time for each
	// eligible voter that is to propose before it.
	ProposalTimeout time.Duration

	// LeaseDuration is the time for which the confirmation by a majority lets the lease holder act.
	LeaseDuration time.Duration
	// TakeoverDelay is the time that a new lease holder waits before it acts. It is at least LeaseDuration plus the time that
	// a holder may need to notice that its lease has expired, so that the previous holder has stopped by then.
	TakeoverDelay time.Duration
	// ReturnDelay replaces TakeoverDelay for a member that has held the lease before, so that the role does not alternate
	// between members. It is at least TakeoverDelay.
	ReturnDelay time.Duration

	// FirstNonce precedes the nonces of this incarnation's pings. The caller draws it anew for each start of a process, so
	// that a delayed pong to a ping of an earlier incarnation answers no ping of this one.
	FirstNonce uint64
	// Jitter returns a random duration of at most its argument.
	Jitter func(time.Duration) time.Duration
}
