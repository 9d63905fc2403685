package controlplane

import (
	"time"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

const (
	// compactionInterval is the time between two checks for history and expired holds that can be dropped.
	compactionInterval = 2 * time.Second
	// expiredHoldGrace is how long an expired hold is kept before it is dropped.
	expiredHoldGrace = time.Minute
)

// coordinationService is this member's part of the coordination service: locks, sequences of numbers, and cells with
// watches. It is owned by the event loop, except for metrics and admission, which HTTP handlers use.
type coordinationService struct {
	server  *Server
	head    *coordination.Head
	watches *coordination.WatchTable
	// received holds the recent calls of peers, to drop duplicates: a link may deliver a call twice.
	received  *coordination.RecentCalls
	lockLog   *lockLog
	metrics   *coordinationMetrics
	admission *callAdmission
}

func newCoordinationService(s *Server) *coordinationService {
	head := coordination.NewHead(s.now(), coordination.HeadConfig{
		HoldMargin:         s.timing.holdMargin,
		HistoryKept:        s.timing.historyKept,
		CompactionInterval: compactionInterval,
		ExpiredHoldGrace:   expiredHoldGrace,
		StateOf:            corestate.Coordination,
		Encode:             func(command coordination.Command) ([]byte, error) { return encodeOperation(command) },
	})
	return &coordinationService{
		server:    s,
		head:      head,
		watches:   coordination.NewWatchTable(),
		received:  coordination.NewRecentCalls(),
		lockLog:   newLockLog(s.log),
		metrics:   newCoordinationMetrics(),
		admission: newCallAdmission(),
	}
}

// write executes a command at the head. A reply of kind errkind.OutcomeUnknown means that the command may have been
// executed or may still be. Any other failure means that the command has not been executed and never will be.
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

// withUnknownOutcome replaces the kind errkind.Unavailable by errkind.OutcomeUnknown. It applies to a command that was
// sent to the head and got no reply.
func withUnknownOutcome(reply protocol.Reply) protocol.Reply {
	if reply.Failed && errkind.Kind(reply.Kind) == errkind.Unavailable {
		reply.Kind = int(errkind.OutcomeUnknown)
	}
	return reply
}

// receiveWrite executes a command that a peer has forwarded. A duplicate is dropped: the first delivery may have been
// rejected with the promise that the command is never executed.
func (c *coordinationService) receiveWrite(now time.Duration, call protocol.CoordinationWrite) {
	if c.received.IsRepeated(call.From, call.ID) {
		return
	}
	c.executeAtHead(now, call.Command, c.server.replyTo(call.From, call.ID))
}

// executeAtHead executes a command at this member. The chain rejects it if this member is not the head.
func (c *coordinationService) executeAtHead(now time.Duration, command coordination.Command, answer func(protocol.Reply)) {
	if c.server.chain.OperationVersion() < coordinationOperationVersion {
		answer(errorReply(errkind.New(errkind.NotReady, "a member of the chain is of an earlier version")))
		return
	}
	observe := c.lockObserver(command)
	respond := func(result coordination.Result, err error) {
		observe(result, err)
		answer(coordinationReply(result, err))
	}
	c.server.applyChainOutput(c.server.pendingRequests.Write(now, c.head.Write(now, command, respond)))
}

// coordinationReply returns the reply to a command. A failed command may have a result as well: a revision conflict has
// the current revision.
func coordinationReply(result coordination.Result, err error) protocol.Reply {
	if err == nil {
		return protocol.Reply{Coordination: result}
	}
	reply := errorReply(err)
	reply.Coordination = result
	return reply
}

// read reads a cell or the revision of a group at the tail of the chain. The name of the other is empty.
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

// readAtTail reads a cell or a group at this member. The chain rejects the read if this member is not the tail.
func (c *coordinationService) readAtTail(cell, group string, answer func(protocol.Reply)) {
	s := c.server
	s.applyChainOutput(s.pendingRequests.Read(s.now(), chain.Read{Respond: func(state chain.State, err error) {
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

// stop ends the watches and rejects further calls when the process shuts down. Calls in progress are still answered.
func (c *coordinationService) stop() {
	c.watches.Stop()
	c.admission.stop()
}

// tick drops old history and expired holds, if this member is the head.
func (c *coordinationService) tick(now time.Duration) {
	s := c.server
	if !s.chain.IsHead() || !s.chain.IsViewConfirmed(now) {
		c.head.Pause()
		return
	}
	if command, ok := c.head.Compaction(now, s.chain.CommittedState().Value); ok {
		c.executeAtHead(now, command, func(protocol.Reply) {}) // the next check repeats it if it fails
	}
}
