package coresim

import (
	"fmt"
	"time"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

// Faults of the calls between members. Each value n means that one in n calls has the fault.
const (
	lostForwardFraction      = 50
	duplicateForwardFraction = 20
	// maxDuplicateDelay is the longest time until the second delivery of a duplicated call.
	maxDuplicateDelay = 400 * time.Millisecond
)

// coordinationProcess is the coordination service of one process. It drives the program's own state machines (package
// coordination) in the way that internal/controlplane does.
type coordinationProcess struct {
	m *machine
	// head makes the decisions on commands while the member is the head.
	head    *coordination.Head
	watches *coordination.WatchTable
	// received detects calls of other members that arrive twice.
	received *coordination.RecentCalls
	flawed   flawedCoordination
	// lastCall is the number of the latest call to another member.
	lastCall uint64
	// pending are the calls that wait for a reply, the oldest first.
	pending []pendingForward
}

// pendingForward is a call to another member that waits for its reply.
type pendingForward struct {
	number   uint64
	deadline time.Duration
	answer   func(protocol.Reply)
}

// startCoordination starts the coordination service of a process, if the simulation has it.
func (m *machine) startCoordination() {
	if m.sim.coordination == nil {
		return
	}
	m.coordination = &coordinationProcess{
		m: m,
		head: coordination.NewHead(m.sim.now, coordination.HeadConfig{
			HoldMargin:         holdMargin,
			HistoryKept:        2 * historyDuration,
			CompactionInterval: compactionInterval,
			ExpiredHoldGrace:   expiredHoldGrace,
			StateOf:            coordinationOf,
			Encode:             m.sim.coordination.encodeCommand,
		}),
		watches:  coordination.NewWatchTable(),
		received: coordination.NewRecentCalls(),
		flawed:   newFlawedCoordination(m),
		lastCall: m.firstNonce(),
	}
}

// viewInstalled resets the hold timers of the head, since a view was installed.
func (p *coordinationProcess) viewInstalled() {
	if p.m.sim.options.Flaw != KeepHoldTimers {
		p.head.ViewInstalled(p.m.sim.now)
	}
}

// write executes a command at the head: here, or by a call to the member that is the head.
func (p *coordinationProcess) write(command coordination.Command, answer func(protocol.Reply)) {
	node := p.m.node
	if node.IsHead() {
		p.executeAtHead(command, answer)
		return
	}
	view := node.View()
	head, ok := view.Voter(view.Head())
	if !ok || !node.IsReachable(p.m.sim.now, head.Address) {
		answer(failedReply(errkind.NotReady))
		return
	}
	p.forward(head.Address, func(number uint64) any {
		return protocol.CoordinationWrite{From: p.m.address, ID: number, Command: command}
	}, answer)
}

// forward calls another member. The message may be lost or delivered twice.
func (p *coordinationProcess) forward(to string, message func(number uint64) any, answer func(protocol.Reply)) {
	sim, t := p.m.sim, p.m.sim.coordination
	p.lastCall++
	p.pending = append(p.pending, pendingForward{number: p.lastCall, deadline: sim.now + callTimeout, answer: answer})
	envelope := chain.Envelope{To: to, Message: message(p.lastCall)}
	if !t.faultOccurs(lostForwardFraction) {
		sim.send(p.m, envelope)
	}
	if t.faultOccurs(duplicateForwardFraction) {
		sim.after(t.duration(0, maxDuplicateDelay), func() { sim.send(p.m, envelope) })
	}
}

// executeAtHead executes a command at this member, which is expected to be the head.
func (p *coordinationProcess) executeAtHead(command coordination.Command, answer func(protocol.Reply)) {
	now := p.m.sim.now
	command = p.flawed.command(command)
	if reply, ok := p.flawed.earlyReply(command); ok {
		answer(reply)
	}
	t := p.m.sim.coordination
	t.tracef("%s decides on %s", p.m.address, tracedCommand(command))
	respond := func(result coordination.Result, err error) {
		t.tracef("%s answers %s: %+v %v", p.m.address, tracedCommand(command), result, err)
		answer(p.flawed.reply(command, result, err))
	}
	p.m.process(p.m.requests.Write(now, p.head.Write(now, command, respond)))
}

// tracedCommand formats a command for a trace.
type tracedCommand coordination.Command

// String returns the command in one line.
func (c tracedCommand) String() string {
	return fmt.Sprintf("%s %s %s token %d hold %d value %q if %d", c.Operation, c.Name, c.Holder, c.Token, c.HoldMs, c.Value, c.IfRevision)
}

// coordinationReply returns the reply to a command with a result and an error.
func coordinationReply(result coordination.Result, err error) protocol.Reply {
	if err == nil {
		return protocol.Reply{Coordination: result}
	}
	reply := failedReply(errkind.KindOf(err))
	reply.Coordination = result
	return reply
}

// failedReply returns the reply to a call that failed with an error kind.
func failedReply(kind errkind.Kind) protocol.Reply {
	return protocol.Reply{Failed: true, Kind: int(kind)}
}

// read reads a cell, or the revision of a group if one is given, at the tail: here, or by a call to the member that is the
// tail.
func (p *coordinationProcess) read(cell, group string, answer func(protocol.Reply)) {
	node := p.m.node
	if node.IsTail() || p.m.sim.options.Flaw == ReadAtAnyMember {
		p.readAtTail(cell, group, answer)
		return
	}
	view := node.View()
	tail, ok := view.Voter(view.Tail())
	if !ok || !node.IsReachable(p.m.sim.now, tail.Address) {
		answer(failedReply(errkind.NotReady))
		return
	}
	p.forward(tail.Address, func(number uint64) any {
		return protocol.CoordinationRead{From: p.m.address, ID: number, Cell: cell, Group: group}
	}, answer)
}

// readAtTail reads a cell or the revision of a group at this member, which is expected to be the tail.
func (p *coordinationProcess) readAtTail(cell, group string, answer func(protocol.Reply)) {
	respond := func(state chain.State, err error) {
		if err != nil {
			answer(failedReply(errkind.NotReady))
			return
		}
		table := coordinationOf(state.Value)
		if group != "" {
			answer(protocol.Reply{Coordination: table.ReadGroup(group)})
			return
		}
		answer(protocol.Reply{Coordination: table.ReadCell(cell)})
	}
	if p.m.sim.options.Flaw == ReadAtAnyMember {
		respond(p.m.node.CommittedState(), nil)
		return
	}
	p.m.process(p.m.requests.Read(p.m.sim.now, chain.Read{Respond: respond}))
}

// receive handles a call or a reply of another member. A write that arrives twice is executed once.
func (p *coordinationProcess) receive(message any) {
	switch call := message.(type) {
	case protocol.CoordinationWrite:
		if !p.received.IsRepeated(call.From, call.ID) || p.m.sim.options.Flaw == ExecuteDuplicates {
			p.executeAtHead(call.Command, p.replyTo(call.From, call.ID))
		}
	case protocol.CoordinationRead:
		p.readAtTail(call.Cell, call.Group, p.replyTo(call.From, call.ID))
	case protocol.Reply:
		p.onReply(call)
	}
}

// replyTo returns a function that sends the reply to a call of another member.
func (p *coordinationProcess) replyTo(address string, id uint64) func(protocol.Reply) {
	return func(reply protocol.Reply) {
		reply.ID = id
		p.m.sim.send(p.m, chain.Envelope{To: address, Message: reply})
	}
}

// onReply passes a reply to the pending call with its number. A reply that arrives after the timeout is dropped.
func (p *coordinationProcess) onReply(reply protocol.Reply) {
	for i, call := range p.pending {
		if call.number == reply.ID {
			p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
			call.answer(reply)
			return
		}
	}
}

// tick ends calls whose reply is overdue. At a confirmed head it also compacts the state of the coordination service.
func (p *coordinationProcess) tick() {
	now := p.m.sim.now
	for len(p.pending) > 0 && now > p.pending[0].deadline {
		call := p.pending[0]
		p.pending = p.pending[1:]
		call.answer(failedReply(errkind.Unavailable))
	}
	node := p.m.node
	if !node.IsHead() || !node.IsViewConfirmed(now) {
		p.head.Pause()
		return
	}
	if command, ok := p.head.Compaction(now, node.CommittedState().Value); ok {
		p.executeAtHead(command, func(protocol.Reply) {})
	}
}

// watchSource returns the state from which this member serves watches now, by the rule of internal/controlplane.
func (p *coordinationProcess) watchSource() coordination.WatchSource {
	node, now := p.m.node, p.m.sim.now
	source := coordination.WatchSource{
		Seq:        node.CommittedSeq(),
		State:      coordinationOf(node.CommittedState().Value),
		CanServe:   node.IsInChain() && node.IsCommitKnown() && now-node.QuorumConfirmedAt(now) < maxUnconfirmed,
		IsChanging: node.IsSealed() && node.HasQuorum(now),
	}
	if p.m.sim.options.Flaw == WatchUncommitted {
		source.Seq, source.State = node.LatestState().Seq, coordinationOf(node.LatestState().Value)
	}
	return source
}

// answerWatches answers the watches that have events or whose deadline has passed.
func (p *coordinationProcess) answerWatches() {
	if !p.watches.IsEmpty() {
		p.watches.AnswerReady(p.m.sim.now, p.watchSource())
	}
}

// isCoordinationMessage reports whether a message is addressed to the coordination service.
func isCoordinationMessage(message any) bool {
	switch message.(type) {
	case protocol.CoordinationWrite, protocol.CoordinationRead, protocol.Reply:
		return true
	}
	return false
}
