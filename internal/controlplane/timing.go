// Package controlplane is the process that serves the control plane: it takes heartbeats of endpoints and changes of
// the operator, replicates both with its peers, streams them to the sidecars that carry traffic, and, on the member that
// holds the role, places models.
package controlplane

import (
	"time"

	"dykering/internal/nodefile"
)

// timing are the process's times. Each derives from the settings.
type timing struct {
	tickInterval         time.Duration // between two looks at what is due
	pingInterval         time.Duration
	suspectAfter         time.Duration // a silent member is suspected
	proposeTimeout       time.Duration // a proposed view is proposed again
	maxWriteDuration     time.Duration // a write that takes longer makes a member unfit for the chain
	callTimeout          time.Duration // a caller is answered; it goes elsewhere after a second of silence
	drainAckTimeout      time.Duration // peers acknowledge a drain
	fullSyncTimeout      time.Duration // a started member has its peers' sessions
	sessionTTL           time.Duration // an endpoint without heartbeat is no longer offered
	renewalInterval      time.Duration // signs of life are passed on
	antiEntropyInterval  time.Duration // copies of the sessions are compared with a peer's
	lease                time.Duration // a majority's word counts for the holder of the placement
	newHolderDelay       time.Duration // a new holder waits before it acts, by when its predecessor's last order has ended
	returningHolderDelay time.Duration // a former holder that holds the role again waits before it acts
	maxUnconfirmed       time.Duration // a member that no majority confirms ends its streams
	stopTimeout          time.Duration // a stopping member waits to be out of the chain
}

func newTiming(settings *nodefile.Settings) timing {
	contact := nodefile.Milliseconds(settings.Bounds.ContactMs)
	lease := contact / 4
	predecessorEnds := lease + orderTimeout + nodefile.Milliseconds(settings.Bounds.ThawSlackMs)
	return timing{
		tickInterval:         contact / 60,
		pingInterval:         contact / 30,
		suspectAfter:         contact / 5,
		proposeTimeout:       contact / 6,
		maxWriteDuration:     contact / 6,
		callTimeout:          min(900*time.Millisecond, nodefile.Milliseconds(settings.Bounds.AcknowledgeMs)/4),
		drainAckTimeout:      min(contact/6, nodefile.Milliseconds(settings.Bounds.DrainTimeoutMs)/4),
		fullSyncTimeout:      contact / 4,
		sessionTTL:           3*settings.HeartbeatInterval() + time.Second,
		renewalInterval:      settings.HeartbeatInterval() / 4,
		antiEntropyInterval:  settings.HeartbeatInterval(),
		lease:                lease,
		newHolderDelay:       predecessorEnds,
		returningHolderDelay: predecessorEnds + nodefile.Milliseconds(settings.Bounds.LeaseDurationMs),
		maxUnconfirmed:       contact / 4,
		stopTimeout:          nodefile.Seconds(settings.Bounds.GracePeriodS) / 2,
	}
}
