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
	tick           time.Duration // between two looks at what is due
	pingEvery      time.Duration
	suspectAfter   time.Duration // a silent member is suspected
	proposeTimeout time.Duration // a proposed view is proposed again
	diskPatience   time.Duration // a write that takes longer makes a member unfit for the chain
	answerWithin   time.Duration // a caller is answered; it goes elsewhere after a second of silence
	drainAckWithin time.Duration // peers acknowledge a drain
	syncWithin     time.Duration // a started member has its peers' sessions
	silentAfter    time.Duration // an endpoint without heartbeat is no longer offered
	signsEvery     time.Duration // signs of life are passed on
	repairEvery    time.Duration // copies of the sessions are compared with a peer's
	lease          time.Duration // a majority's word counts for the holder of the placement
	holderPause    time.Duration // a new holder waits before it acts, by when its predecessor's last order has ended
	returnPause    time.Duration // a former holder that holds the role again waits before it acts
	streamSilence  time.Duration // a member that no majority confirms ends its streams
	stopWithin     time.Duration // a stopping member waits to be out of the chain
}

func timingOf(s *nodefile.Settings) timing {
	contact := nodefile.Milliseconds(s.Bounds.ContactMs)
	lease := contact / 4
	predecessorEnds := lease + orderTimeout + nodefile.Milliseconds(s.Bounds.ThawSlackMs)
	return timing{
		tick:           contact / 60,
		pingEvery:      contact / 30,
		suspectAfter:   contact / 5,
		proposeTimeout: contact / 6,
		diskPatience:   contact / 6,
		answerWithin:   min(900*time.Millisecond, nodefile.Milliseconds(s.Bounds.AcknowledgeMs)/4),
		drainAckWithin: min(contact/6, nodefile.Milliseconds(s.Bounds.DrainTimeoutMs)/4),
		syncWithin:     contact / 4,
		silentAfter:    3*s.HeartbeatInterval() + time.Second,
		signsEvery:     s.HeartbeatInterval() / 4,
		repairEvery:    s.HeartbeatInterval(),
		lease:          lease,
		holderPause:    predecessorEnds,
		returnPause:    predecessorEnds + nodefile.Milliseconds(s.Bounds.LeaseDurationMs),
		streamSilence:  contact / 4,
		stopWithin:     nodefile.Seconds(s.Bounds.GracePeriodS) / 2,
	}
}
