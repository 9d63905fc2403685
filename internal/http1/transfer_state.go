package http1

import (
	"errors"
	"time"

	"dykering/internal/core"
	"dykering/internal/handover"
)

// sendState sends the successor what this process has learnt, and until done is closed how many
// requests it has in flight. A successor of a release without this message declines it, and is sent
// no more.
func (s *Server) sendState(done <-chan struct{}) {
	tick := time.NewTicker(core.HandoverInterval)
	defer tick.Stop()
	for first, last := true, false; ; first = false {
		w := core.HandoverUpdate{}
		if !last {
			w = s.loop.HandoverUpdate(first)
		}
		if err := s.sendToSuccessor(connTransfer{State: &w}); err != nil {
			if errors.Is(err, handover.ErrDeclined) {
				s.log.Info("handover.state_declined")
			}
			return
		}
		if last {
			return
		}
		select {
		case <-tick.C:
		case <-done:
			last = true // nothing is in flight here any more
		}
	}
}
