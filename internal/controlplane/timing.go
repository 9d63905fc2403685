package controlplane

import (
	"time"

	"dykering/internal/nodefile"
)

// timing holds the time-outs and intervals of a control process. Each derives from a bound of the settings file: ContactMs
// is the time within which the loss of a member must be repaired, and most times here are fractions of it that have to fit
// into it one after another.
type timing struct {
	// tickInterval is the time between two ticks of the event loop, which is the resolution of all times below.
	// Source: ContactMs / 60.
	tickInterval time.Duration

	// pingInterval is the time between two pings of a voter: six fit into suspectAfter, so that one lost packet does not
	// make a member suspected. Source: ContactMs / 30.
	pingInterval time.Duration
	// suspectAfter is the silence after which a member is suspected and a view without it is proposed.
	// Source: ContactMs / 5.
	suspectAfter time.Duration
	// proposeTimeout is the time after which a proposal that was not decided is made again. Source: ContactMs / 6.
	proposeTimeout time.Duration
	// maxWriteDuration is the time that a write to disk may take before this member counts as unfit for the chain, in
	// which it would delay every change. Source: ContactMs / 6.
	maxWriteDuration time.Duration

	// callTimeout is the time within which a caller is answered, be it with an error. The operator and the endpoints turn
	// to another member after a second without an answer, which has to leave time for that. Source: AcknowledgeMs / 4, at
	// most 900 ms.
	callTimeout time.Duration
	// drainAckTimeout is the time that all voters have to store a departure before a majority is enough. A voter that is
	// down must not use up the endpoint's time to drain. Source: the lesser of ContactMs / 6 and DrainTimeoutMs / 4.
	drainAckTimeout time.Duration
	// gracePeriod is the time after the signal to stop at which the platform kills the process. A member that the others
	// need stays until then: its exit would count as a lost disk. Source: GracePeriodS.
	gracePeriod time.Duration

	// holdMargin is added to the time for which a lock is held, for the difference between the clocks of its holder and of
	// the head. Source: FreeMs / 10.
	holdMargin time.Duration
	// historyKept is how long the puts of a group are kept for watches. Source: twice HistoryS, as a watch may have been
	// given its revision by a member that was behind.
	historyKept time.Duration

	// sessionTTL is the time without a heartbeat after which an endpoint is no longer offered. Source: three heartbeat
	// intervals, so that two may be lost, and a second for their way.
	sessionTTL time.Duration
	// renewalInterval is the time between two broadcasts of session renewals to the peers. Source: a quarter of the
	// heartbeat interval, by which a renewal is late at the most.
	renewalInterval time.Duration
	// antiEntropyInterval is the time between two comparisons of the sessions with a peer. Source: the heartbeat interval.
	antiEntropyInterval time.Duration
	// fullSyncTimeout is the time after which a started member serves streams although peers have not sent their
	// sessions. Source: ContactMs / 4.
	fullSyncTimeout time.Duration
	// maxUnconfirmed is the time without a majority's confirmation of the view after which a member ends its streams:
	// proxies must not follow a member that is cut off. Source: ContactMs / 4.
	maxUnconfirmed time.Duration

	// lease is the time for which a majority's confirmation lets the holder of the placement act. Source: ContactMs / 4.
	lease time.Duration
	// newHolderDelay is the time that a new lease holder waits before it acts, by when the last order of its predecessor
	// has reached its endpoint or failed. Source: lease + orderTimeout + ThawSlackMs, the time by which the predecessor's
	// process may have been frozen between the check of its lease and the order.
	newHolderDelay time.Duration
	// returningHolderDelay is that time for a member that has held the lease before, so that two members which lose contact
	// in turns do not hand the role to and fro. Source: newHolderDelay + LeaseDurationMs.
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
