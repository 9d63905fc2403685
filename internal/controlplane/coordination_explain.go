package controlplane

import (
	"log/slog"
	"time"

	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/errkind"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
)

const (
	// maxLockEvents bounds the refusals and takeovers that a head keeps, over all locks.
	maxLockEvents = 512
	// takeoverLogInterval is the interval in which at most maxLoggedTakeovers are logged.
	takeoverLogInterval = time.Second
	maxLoggedTakeovers  = 20
)

// lockLog holds the latest refusals and takeovers of locks that this member has decided on as the head, oldest first.
// It is owned by the event loop.
type lockLog struct {
	log    *slog.Logger
	events []protocol.LockEvent
	// logged counts the takeovers logged since intervalStart. suppressed counts the takeovers that were not logged
	// since the last one that was.
	intervalStart      time.Duration
	logged, suppressed int
}

func newLockLog(log *slog.Logger) *lockLog { return &lockLog{log: log} }

// lockObserver returns a function that records the outcome of a command on a lock. It must be called before the head
// decides on the command, because it captures the hold that the command finds.
func (c *coordinationService) lockObserver(command coordination.Command) func(coordination.Result, error) {
	before, _ := corestate.Coordination(c.server.chain.LatestState().Value).Lock(command.Name)
	return func(result coordination.Result, err error) {
		c.lockLog.record(c.server.now(), command, before, result, err)
	}
}

// record adds an event if a command was refused or has taken over a lock. before is the hold of the lock before the
// command; it is zero if nobody held the lock.
func (l *lockLog) record(
	now time.Duration, command coordination.Command, before coordination.Lock, result coordination.Result, err error,
) {
	event := protocol.LockEvent{
		At:          now,
		Count:       1,
		Lock:        command.Name,
		Caller:      command.Holder,
		Token:       command.Token,
		Holder:      before.Holder,
		HolderToken: before.Token,
	}
	isAcquired := err == nil && command.Operation == coordination.BeginLock
	switch {
	case isAcquired && before.Holder != "" && before.Holder != command.Holder:
		event.Kind = protocol.LockTakenOver
		event.Token = result.Token
		l.logTakeover(event)
	case err != nil && errkind.KindOf(err) == errkind.LockHeld:
		event.Kind = protocol.LockRefused
	case err != nil && errkind.KindOf(err) == errkind.LockLost:
		event.Kind = protocol.LockRenewalRefused
	default:
		return
	}
	l.add(event)
}

// add appends an event. Callers retry refused commands, so an equal earlier event is removed and its count is added to
// the new one.
func (l *lockLog) add(event protocol.LockEvent) {
	for i, earlier := range l.events {
		if isRepeated(earlier, event) {
			event.Count += earlier.Count
			l.events = append(l.events[:i], l.events[i+1:]...)
			break
		}
	}
	l.events = append(l.events, event)
	if excess := len(l.events) - maxLockEvents; excess > 0 {
		l.events = append(l.events[:0], l.events[excess:]...)
	}
}

// isRepeated reports whether two events differ only in time and count.
func isRepeated(earlier, event protocol.LockEvent) bool {
	earlier.At = event.At
	earlier.Count = event.Count
	return earlier == event
}

// eventsAbout returns the events of a lock.
func (l *lockLog) eventsAbout(lock string) []protocol.LockEvent {
	var found []protocol.LockEvent
	for _, event := range l.events {
		if event.Lock == lock {
			found = append(found, event)
		}
	}
	return found
}

// logTakeover logs that another caller has acquired a lock whose hold had expired. Takeovers beyond maxLoggedTakeovers
// in an interval are only counted.
func (l *lockLog) logTakeover(event protocol.LockEvent) {
	if event.At-l.intervalStart >= takeoverLogInterval {
		l.intervalStart = event.At
		l.logged = 0
	}
	if l.logged >= maxLoggedTakeovers {
		l.suppressed++
		return
	}
	l.logged++
	l.log.Info("lock.taken_over", "lock", event.Lock, "holder", event.Caller, "token", event.Token,
		"former_holder", event.Holder, "former_token", event.HolderToken, "suppressed", l.suppressed)
	l.suppressed = 0
}

// AskLockExplain asks the control process at an internal address for the holder and the recent events of a lock.
func AskLockExplain(address, lock string) (protocol.LockExplanation, error) {
	return requestReply[protocol.LockExplanation](address, protocol.LockExplainRequest{Lock: lock}, "explain")
}

// serveLockExplain answers a protocol.LockExplainRequest.
func (s *Server) serveLockExplain(conn *peerlink.Conn, request protocol.LockExplainRequest) {
	explanation, ok := query(s, func() protocol.LockExplanation { return s.coordination.explainLock(s.now(), request.Lock) })
	if !ok {
		return
	}
	if err := conn.Send(explanation, statusTimeout); err != nil {
		s.log.Debug("lock.explanation_not_sent", "error", err)
	}
}

// explainLock returns the holder of a lock in the committed state. At the head, the explanation also has the end of the
// hold and the recent events of the lock.
func (c *coordinationService) explainLock(now time.Duration, name string) protocol.LockExplanation {
	node := c.server.chain
	view := node.View()
	lock, held := corestate.Coordination(node.CommittedState().Value).Lock(name)
	explanation := protocol.LockExplanation{
		Lock:       name,
		Now:        now,
		Head:       view.Head(),
		IsHead:     node.IsHead() && node.IsViewConfirmed(now),
		Held:       held,
		Holder:     lock.Holder,
		FirstToken: lock.FirstToken,
		Token:      lock.Token,
		HoldMs:     lock.HoldMs,
	}
	if !explanation.IsHead {
		return explanation
	}
	explanation.Events = c.lockLog.eventsAbout(name)
	if held {
		explanation.EndsAt = c.head.HoldEndsAt(name, lock)
	}
	return explanation
}
