package controlplane

import (
	"time"

	"dykering/internal/nodefile"
)

// timing holds the timeouts and intervals of a control process. Each is derived from the settings. ContactMs is the
// time in which the loss of a member must be repaired. Most times are fractions of it, because several of them have to
// elapse one after another within it.
type timing struct {
	// tickInterval is the time between two ticks of the event loop. It is the resolution of all times below.
	// Derived as ContactMs / 60.
	tickInterval time.Duration

	// pingInterval is the time between two pings to a voter. Six pings fit into suspectAfter, so that one lost packet
	// does not make a member suspected.
	// Derived as ContactMs / 30.
	pingInterval time.Duration
	// suspectAfter is the silence after which a member is suspected and a view without it is proposed.
	// Derived as ContactMs / 5.
	suspectAfter time.Duration
	// proposeTimeout is the time after which a proposal without a decision is repeated.
	// Derived as ContactMs / 6.
	proposeTimeout time.Duration
	// maxWriteDuration is how long a write to disk may take before this member counts as unfit for the chain. A chain
	// member with a slow disk would delay every change.
	// Derived as ContactMs / 6.
	maxWriteDuration time.Duration

	// callTimeout is the time in which a caller gets an answer, which may be an error. Operators and endpoints turn to
	// another member after one second without an answer, so callTimeout has to be shorter.
	// Derived as AcknowledgeMs / 4, at most 900 ms.
	callTimeout time.Duration
	// drainAckTimeout is the time that all voters have to store a departure before a majority is enough. A failed voter
	// must not use up the endpoint's time to drain.
	// Derived as the smaller of ContactMs / 6 and DrainTimeoutMs / 4.
	drainAckTimeout time.Duration
	// gracePeriod is the time from the stop signal until the platform kills the process. A member that the others need
	// runs until then, because its exit would count as a lost disk.
	// Derived as GracePeriodS.
	gracePeriod time.Duration

	// holdMargin is added to the time for which a lock is held, to cover the difference between the clocks of the
	// holder and of the head.
	// Derived as FreeMs / 10.
	holdMargin time.Duration
	// historyKept is how long the puts of a group are kept for watches. It is twice the setting, because a watch may
	// have got its revision from a member that lagged behind.
	// Derived as 2 * HistoryS.
	historyKept time.Duration

	// sessionTTL is the time without a heartbeat after which an endpoint is no longer offered. Two heartbeats may be
	// lost, and one second covers network delay.
	// Derived as three heartbeat intervals and one second.
	sessionTTL time.Duration
	// renewalInterval is the time between two broadcasts of session renewals to the peers, and so the maximum delay of
	// a renewal.
	// Derived as a quarter of the heartbeat interval.
	renewalInterval time.Duration
	// antiEntropyInterval is the time between two comparisons of the sessions with a peer.
	// Derived as the heartbeat interval.
	antiEntropyInterval time.Duration
	// fullSyncTimeout is the time after which a started member serves streams even if peers have not sent their
	// sessions.
	// Derived as ContactMs / 4.
	fullSyncTimeout time.Duration
	// maxUnconfirmed is the time without a majority's confirmation of the view after which a member ends its streams,
	// because proxies must not follow a partitioned member.
	// Derived as ContactMs / 4.
	maxUnconfirmed time.Duration

	// lease is how long the holder of the placement role may act after a majority's confirmation.
	// Derived as ContactMs / 4.
	lease time.Duration
	// newHolderDelay is the time that a new lease holder waits before it acts. By then the last order of its
	// predecessor has reached its endpoint or failed. The predecessor's process may have been frozen for ThawSlackMs
	// between the check of its lease and the order.
	// Derived as lease + orderTimeout + ThawSlackMs.
	newHolderDelay time.Duration
	// returningHolderDelay replaces newHolderDelay for a member that has held the lease before, so that the role does
	// not alternate between two members that lose contact in turn.
	// Derived as newHolderDelay + LeaseDurationMs.
	returningHolderDelay time.Duration
}

// newTiming derives the times from the settings.
func newTiming(settings *nodefile.Settings) timing {
	contact := nodefile.Milliseconds(settings.Bounds.ContactMs)
	lease := contact / 4
	newHolderDelay := lease + orderTimeout + nodefile.Milliseconds(settings.Bounds.ThawSlackMs)
	return timing{
		tickInterval:         contact / 60,
		pingInterval:         contact / 30,
		suspectAfter:         contact / 5,
		proposeTimeout:       contact / 6,
		maxWriteDuration:     contact / 6,
		callTimeout:          min(900*time.Millisecond, nodefile.Milliseconds(settings.Bounds.AcknowledgeMs)/4),
		drainAckTimeout:      min(contact/6, nodefile.Milliseconds(settings.Bounds.DrainTimeoutMs)/4),
		gracePeriod:          nodefile.Seconds(settings.Bounds.GracePeriodS),
		holdMargin:           nodefile.Milliseconds(settings.Bounds.FreeMs) / 10,
		historyKept:          2 * nodefile.Seconds(settings.Bounds.HistoryS),
		sessionTTL:           3*settings.HeartbeatInterval() + time.Second,
		renewalInterval:      settings.HeartbeatInterval() / 4,
		antiEntropyInterval:  settings.HeartbeatInterval(),
		fullSyncTimeout:      contact / 4,
		maxUnconfirmed:       contact / 4,
		lease:                lease,
		newHolderDelay:       newHolderDelay,
		returningHolderDelay: newHolderDelay + nodefile.Milliseconds(settings.Bounds.LeaseDurationMs),
	}
}
