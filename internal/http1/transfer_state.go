package http1

import (
	"errors"
	"time"

	"dykering/internal/core"
	"dykering/internal/handover"
)

// startSendingState runs sendState in a goroutine. The returned function ends it, and waits until the
// last update has been sent.
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

// sendState sends the successor this process's statistics once, and until done is closed the number
// of its requests in flight. A successor of an older release does not know this message and declines
// it; then no more are sent.
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
			last = true // the last update is empty: this process has no requests in flight
		}
	}
}
