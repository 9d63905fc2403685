package controlplane

import (
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

// maxPendingCalls bounds the calls that wait for a peer's reply.
const maxPendingCalls = 1024

// pendingCalls holds the calls of this process to peers that wait for a reply.
type pendingCalls struct {
	lastNumber uint64
	byNumber   map[uint64]pendingCall
}

// pendingCall is a call that waits for a reply until its deadline.
type pendingCall struct {
	deadline time.Duration
	answer   func(protocol.Reply)
}

func newPendingCalls() pendingCalls {
	return pendingCalls{lastNumber: randomStartNumber(), byNumber: map[uint64]pendingCall{}}
}

// randomStartNumber returns the number after which a process counts its calls, pings or departures. It is random
// because a reply carries only the number of its call and may arrive after the caller has been restarted. A late reply
// must not answer a call of the new process.
func randomStartNumber() uint64 { return mathrand.Uint64()>>1 + 1 }

// nextNumber returns the number of the next call. It is never 0, which means that there is no call.
func (c *pendingCalls) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

// callPeer sends a call to a peer. It passes the reply to answer, or a reply of kind errkind.Unavailable if there is
// none in time or too many calls are pending.
func (s *Server) callPeer(address string, message func(number uint64) any, answer func(protocol.Reply)) {
	if len(s.pendingCalls.byNumber) >= maxPendingCalls {
		answer(unavailableReply("too many calls are waiting"))
		return
	}
	number := s.pendingCalls.nextNumber()
	s.pendingCalls.byNumber[number] = pendingCall{deadline: s.now() + s.timing.callTimeout, answer: answer}
	s.send(address, message(number))
}

// onReply answers the call that a reply belongs to, if the call is still pending.
func (s *Server) onReply(reply protocol.Reply) {
	if call, ok := s.pendingCalls.byNumber[reply.ID]; ok {
		delete(s.pendingCalls.byNumber, reply.ID)
		call.answer(reply)
	}
}

// expirePendingCalls answers the calls whose deadline has passed.
func (s *Server) expirePendingCalls(now time.Duration) {
	for number, call := range s.pendingCalls.byNumber {
		if now > call.deadline {
			delete(s.pendingCalls.byNumber, number)
			call.answer(unavailableReply("no reply in time"))
		}
	}
}

// replyFor returns the reply to a request that ended with err, which may be nil. An error without a kind, such as an
// error of package chain, becomes errkind.Unavailable: the outcome is unknown.
func replyFor(err error) protocol.Reply {
	var classified *errkind.Error
	switch {
	case err == nil:
		return protocol.Reply{}
	case errors.As(err, &classified):
		return errorReply(err)
	}
	return unavailableReply(err.Error())
}

// errorReply returns a reply with the kind and the text of an error.
func errorReply(err error) protocol.Reply {
	return protocol.Reply{Failed: true, Kind: int(errkind.KindOf(err)), Detail: err.Error()}
}

// unavailableReply returns a reply of kind errkind.Unavailable.
func unavailableReply(detail string) protocol.Reply {
	return errorReply(errkind.New(errkind.Unavailable, detail))
}
