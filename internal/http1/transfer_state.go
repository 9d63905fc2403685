package http1

import (
	"errors"
	"time"

	"dykering/internal/core"
	"dykering/internal/handover"
)

// startSendingState runs sendState in a goroutine. The returned function ends it and waits for its
// last update.
func (s *Server) startSendingState() (stop func()) {
	done, sent := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		s.sendState(done)
	}()
	return func() {
		close(done)
		<-sent
	}
}

// sendState sends the successor what this process has learnt, and until done is closed how many
// requests it has in flight. A successor of a release without this message declines it, and is sent
// no more.
func (s *Server) sendState(done <-chan struct{}) {
	ticker := time.NewTicker(core.HandoverInterval)
	defer ticker.Stop()
	for first, last := true, false; ; first = false {
		update := core.HandoverUpdate{}
		if !last {
			update = s.loop.HandoverUpdate(first)
		}
		if err := s.sendToSuccessor(connTransfer{State: &update}); err != nil {
			if errors.Is(err, handover.ErrDeclined) {
				s.log.Info("handover.state_declined")
			}
			return
		}
		if last {
			return
		}
		select {
		case <-ticker.C:
		case <-done:
			last = true // the empty update: nothing is in flight here any more
		}
	}
}
