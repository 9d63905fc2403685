package controlplane

import (
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
)

// calls are those of this process to other control sidecars that wait for a reply.
type pendingCalls struct {
	lastNumber uint64 // number given to a call
	byNumber   map[uint64]pendingCall
}

type pendingCall struct {
	deadline time.Duration
	answer   func(protocol.Reply)
}

const maxPendingCalls = 1024

func newPendingCalls() pendingCalls {
	return pendingCalls{lastNumber: randomCallNumber(), byNumber: map[uint64]pendingCall{}}
}

// firstNumber draws the number that a life of a process begins to count its calls from. A reply carries the number of its
// call alone and may arrive after the caller has started again: it must not answer a call of the later life.
func randomCallNumber() uint64 { return mathrand.Uint64()>>1 + 1 }

// number gives the next call its number. It is never 0.
func (c *pendingCalls) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

func errorReply(err error) protocol.Reply {
	return protocol.Reply{Failed: true, Kind: int(errkind.KindOf(err)), Detail: err.Error()}
}

func unavailableReply(detail string) protocol.Reply {
	return errorReply(errkind.New(errkind.Unavailable, detail))
}

// forward sends a call to another control sidecar and notes who waits for the reply.
func (s *Server) callPeer(address string, message func(number uint64) any, answer func(protocol.Reply)) {
	if len(s.pending.byNumber) >= maxPendingCalls {
		answer(unavailableReply("too many calls are waiting"))
		return
	}
	number := s.pending.nextNumber()
	s.pending.byNumber[number] = pendingCall{deadline: s.now() + s.timing.callTimeout, answer: answer}
	s.send(address, message(number))
}

func (s *Server) onReply(reply protocol.Reply) {
	if call, ok := s.pending.byNumber[reply.ID]; ok {
		delete(s.pending.byNumber, reply.ID)
		call.answer(reply)
	}
}

// write has a change taken by the head.
func (s *Server) writeConfiguration(change fleetconfig.Change, answer func(protocol.Reply)) {
	if s.chain.IsHead() {
		s.proposeAtHead(change, answer)
		return
	}
	view := s.chain.View()
	head, ok := view.Voter(view.Head())
	if !ok || !s.chain.IsReachable(s.now(), head.Address) {
		answer(unavailableReply("no head can be reached"))
		return
	}
	s.callPeer(head.Address, func(id uint64) any {
		return protocol.Write{From: s.chain.Self().Address, ID: id, Change: change}
	}, answer)
}

// writeHere takes a change where this member is the head.
func (s *Server) proposeAtHead(change fleetconfig.Change, answer func(protocol.Reply)) {
	digests := change.Digests()
	s.applyOutput(s.requests.Write(s.now(), chain.Write{
		Decide:    func(latest any) chain.Decision { return decide(latest.(*fleetconfig.State), digests, change) },
		IsApplied: func(value any) bool { return value.(*fleetconfig.State).HasAny(digests) },
		Respond:   func(err error) { answer(replyFor(err)) },
	}))
}

// decide tells what the newest state makes of a change.
func decide(latest *fleetconfig.State, digests [2]fleetconfig.Digest, change fleetconfig.Change) chain.Decision {
	if latest.HasAny(digests) {
		return chain.Decision{AlreadyApplied: true}
	}
	if _, refusal := latest.Next(&change); refusal != nil {
		return chain.Decision{Rejection: refusal}
	}
	operation, err := encodeOperation(change)
	if err != nil {
		return chain.Decision{Rejection: err}
	}
	return chain.Decision{Operation: operation}
}

// replyOf is the reply to a request that ended with an error or nil.
func replyFor(err error) protocol.Reply {
	var refusal *errkind.Error
	switch {
	case err == nil:
		return protocol.Reply{}
	case errors.As(err, &refusal):
		return errorReply(err)
	}
	return unavailableReply(err.Error())
}

// read has the tail give the configuration.
func (s *Server) readConfiguration(answer func(protocol.Reply)) {
	if s.chain.IsTail() {
		s.readAtTail(answer)
		return
	}
	view := s.chain.View()
	tail, ok := view.Voter(view.Tail())
	if !ok || !s.chain.IsReachable(s.now(), tail.Address) {
		answer(unavailableReply("no tail can be reached"))
		return
	}
	s.callPeer(tail.Address, func(id uint64) any { return protocol.Read{From: s.chain.Self().Address, ID: id} }, answer)
}

// readHere gives the configuration where this member is the tail.
func (s *Server) readAtTail(answer func(protocol.Reply)) {
	s.applyOutput(s.requests.Read(s.now(), chain.Read{Respond: func(state chain.State, err error) {
		if err != nil {
			answer(replyFor(err))
			return
		}
		answer(protocol.Reply{Document: state.Value.(*fleetconfig.State).Document})
	}}))
}

func (s *Server) expireCalls(now time.Duration) {
	for id, call := range s.pending.byNumber {
		if now > call.deadline {
			delete(s.pending.byNumber, id)
			call.answer(unavailableReply("no reply in time"))
		}
	}
}
