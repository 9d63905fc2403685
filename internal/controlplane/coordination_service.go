package controlplane

import (
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

const (
	// compactionInterval is the time between two looks at what is old enough to be dropped.
	compactionInterval = 2 * time.Second
	// expiredHoldGrace is how long a hold that is over is kept before it is dropped.
	expiredHoldGrace = time.Minute
)

// coordinationService is this member's part of the coordination service. All of it belongs to the event loop.
type coordinationService struct {
	server *Server
	// holds and retention are the volatile times of a head. They mean nothing at other members.
	holds     *coordination.HoldTimers
	retention *coordination.Retention
	watches   *watchTable
	// received are the calls of peers that this member has taken: a link may deliver one twice.
	received      *recentCalls
	compactionDue time.Duration
}

func newCoordinationService(s *Server) *coordinationService {
	return &coordinationService{
		server:    s,
		holds:     coordination.NewHoldTimers(s.now(), s.timing.holdMargin),
		retention: coordination.NewRetention(s.timing.historyKept),
		watches:   newWatchTable(s),
		received:  newRecentCalls(),
	}
}

// write has the head execute a command. A reply of kind errkind.OutcomeUnknown says that the command may have been executed, or
// may still be; all other failures say that it has not been and never will be.
func (c *coordinationService) write(command coordination.Command, answer func(protocol.Reply)) {
	s := c.server
	if s.chain.IsHead() {
		c.executeAtHead(s.now(), command, answer)
		return
	}
	view := s.chain.View()
	head, ok := view.Voter(view.Head())
	if !ok || !s.chain.IsReachable(s.now(), head.Address) {
		answer(errorReply(errkind.New(errkind.NotReady, "no head can be reached")))
		return
	}
	s.callPeer(head.Address, func(number uint64) any {
		return protocol.CoordinationWrite{From: s.chain.Self().Address, ID: number, Command: command}
	}, func(reply protocol.Reply) { answer(withUnknownOutcome(reply)) })
}

// withUnknownOutcome replaces the kind of a write that was sent to the head and got no reply.
func withUnknownOutcome(reply protocol.Reply) protocol.Reply {
	if reply.Failed && errkind.Kind(reply.Kind) == errkind.Unavailable {
		reply.Kind = int(errkind.OutcomeUnknown)
	}
	return reply
}

// receiveWrite executes a command that a peer has forwarded. A second delivery is dropped: the first one may have been
// rejected with the promise that the command is never executed.
func (c *coordinationService) receiveWrite(now time.Duration, call protocol.CoordinationWrite) {
	if c.received.isRepeated(call.From, call.ID) {
		return
	}
	c.executeAtHead(now, call.Command, c.server.replyTo(call.From, call.ID))
}

// executeAtHead executes a command where this member is the head; the chain answers that it is not otherwise.
func (c *coordinationService) executeAtHead(now time.Duration, command coordination.Command, answer func(protocol.Reply)) {
	var result coordination.Result
	appended := false
	c.server.applyOutput(c.server.pendingRequests.Write(now, chain.Write{
		Decide: func(latest any) chain.Decision {
			decision, decided := c.decide(now, corestate.Coordination(latest), command)
			result = decided
			appended = decision.Operation != nil
			return decision
		},
		Respond: func(err error) { answer(coordinationReply(result, err, appended)) },
	}))
}

// decide returns what the head does with a command in its latest state. A hold that is over is named in the operation, so that
// all members replace the same one.
func (c *coordinationService) decide(now time.Duration, latest *coordination.State, command coordination.Command) (chain.Decision, coordination.Result) {
	if lock, held := latest.Lock(command.Name); held && command.Operation == coordination.BeginLock && c.holds.IsOver(now, command.Name, lock) {
		command.ExpiredToken = lock.Token
	}
	next, result, rejection := latest.Execute(command)
	if rejection != nil {
		return chain.Decision{Rejection: rejection}, result
	}
	c.extendHold(now, next, command)
	if next == latest {
		return chain.Decision{Unchanged: true}, result
	}
	operation, err := encodeOperation(command)
	if err != nil {
		return chain.Decision{Rejection: err}, result
	}
	return chain.Decision{Operation: operation}, result
}

// extendHold notes how long the holder of a lock may count on it after a command that takes or renews it. The caller has sent
// the command before now.
func (c *coordinationService) extendHold(now time.Duration, next *coordination.State, command coordination.Command) {
	if command.Operation != coordination.BeginLock && command.Operation != coordination.RenewLock {
		return
	}
	if lock, held := next.Lock(command.Name); held {
		c.holds.Extend(now, command.Name, lock, time.Duration(command.HoldMs)*time.Millisecond)
	}
}

// coordinationReply returns the reply to a command that was appended to the log, or not, and ended with an error or nil.
func coordinationReply(result coordination.Result, err error, appended bool) protocol.Reply {
	var classified *errkind.Error
	switch {
	case err == nil:
		return protocol.Reply{Coordination: result}
	case errors.As(err, &classified):
		reply := errorReply(err)
		reply.Coordination = result
		return reply
	case appended && !errors.Is(err, chain.ErrNotWritable):
		return errorReply(errkind.New(errkind.OutcomeUnknown, err.Error()))
	}
	return errorReply(errkind.New(errkind.NotReady, err.Error()))
}

// read has the tail return a cell, or the revision of a group. The other name is empty.
func (c *coordinationService) read(cell, group string, answer func(protocol.Reply)) {
	s := c.server
	if s.chain.IsTail() {
		c.readAtTail(cell, group, answer)
		return
	}
	view := s.chain.View()
	tail, ok := view.Voter(view.Tail())
	if !ok || !s.chain.IsReachable(s.now(), tail.Address) {
		answer(errorReply(errkind.New(errkind.NotReady, "no tail can be reached")))
		return
	}
	s.callPeer(tail.Address, func(number uint64) any {
		return protocol.CoordinationRead{From: s.chain.Self().Address, ID: number, Cell: cell, Group: group}
	}, answer)
}

// readAtTail reads where this member is the tail; the chain answers that it is not otherwise.
func (c *coordinationService) readAtTail(cell, group string, answer func(protocol.Reply)) {
	s := c.server
	s.applyOutput(s.pendingRequests.Read(s.now(), chain.Read{Respond: func(state chain.State, err error) {
		if err != nil {
			answer(errorReply(errkind.New(errkind.NotReady, err.Error())))
			return
		}
		table := corestate.Coordination(state.Value)
		if group != "" {
			answer(protocol.Reply{Coordination: table.ReadGroup(group)})
			return
		}
		answer(protocol.Reply{Coordination: table.ReadCell(cell)})
	}}))
}

// tick drops, at the head, history and holds that are old enough.
func (c *coordinationService) tick(now time.Duration) {
	s := c.server
	if !s.chain.IsHead() || !s.chain.IsViewConfirmed(now) {
		c.retention.Reset()
		return
	}
	if now < c.compactionDue {
		return
	}
	c.compactionDue = now + compactionInterval
	table := corestate.Coordination(s.chain.CommittedState().Value)
	command := coordination.Command{
		Operation:    coordination.Compact,
		Floors:       c.retention.Sample(now, table),
		ExpiredHolds: c.holds.Expired(now, table, expiredHoldGrace),
	}
	if len(command.Floors) > 0 || len(command.ExpiredHolds) > 0 {
		c.executeAtHead(now, command, func(protocol.Reply) {}) // made again where it fails
	}
}
