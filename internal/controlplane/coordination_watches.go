package controlplane

import (
	"time"

	"dykering/internal/coordination"
	"dykering/internal/corestate"
)

// watchSource returns the committed state from which this member serves watches.
func (c *coordinationService) watchSource(now time.Duration) coordination.WatchSource {
	s := c.server
	return coordination.WatchSource{
		Seq:        s.chain.CommittedSeq(),
		State:      corestate.Coordination(s.chain.CommittedState().Value),
		CanServe:   s.canStream(now),
		IsChanging: s.chain.IsSealed() && s.chain.HasQuorum(now),
	}
}

// answerWatches answers the watches that have events or whose wait is over.
func (c *coordinationService) answerWatches(now time.Duration) {
	if !c.watches.IsEmpty() {
		c.watches.AnswerReady(now, c.watchSource(now))
	}
}
