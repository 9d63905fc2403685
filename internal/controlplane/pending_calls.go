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

// pendingCalls are this process's calls to peers that wait for a reply.
type pendingCalls struct {
	lastNumber uint64
	byNumber   map[uint64]pendingCall
}

type pendingCall struct {
	deadline time.Duration
	answer   func(protocol.Reply)
}

func newPendingCalls() pendingCalls {
	return pendingCalls{lastNumber: randomStartNumber(), byNumber: map[uint64]pendingCall{}}
}

// randomStartNumber returns the number from which a process counts its calls. It is drawn anew at each start: a reply
// carries only the number of its call, and may arrive after the caller has been started again. A late reply must not
// answer a call of the new process.
func randomStartNumber() uint64 { return mathrand.Uint64()>>1 + 1 }

// nextNumber returns the number of the next call. It is never 0, which stands for no call.
func (c *pendingCalls) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

// callPeer sends a call to a peer. The answer is the peer's reply, or one that says that it is unavailable.
func (s *Server) callPeer(address string, message func(number uint64) any, answer func(protocol.Reply)) {
	if len(s.pendingCalls.byNumber) >= maxPendingCalls {
		answer(unavailableReply("too many calls are waiting"))
		return
	}
	number := s.pendingCalls.nextNumber()
	s.pendingCalls.byNumber[number] = pendingCall{deadline: s.now() + s.timing.callTimeout, answer: answer}
	s.send(address, message(number))
}

// onReply answers the call that a reply belongs to, if it still waits.
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

// replyFor returns the reply to a request that ended with an error, or nil. An error without a kind, as of the chain, says
// that the outcome is not known.
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

func errorReply(err error) protocol.Reply {
	return protocol.Reply{Failed: true, Kind: int(errkind.KindOf(err)), Detail: err.Error()}
}

func unavailableReply(detail string) protocol.Reply {
	return errorReply(errkind.New(errkind.Unavailable, detail))
}
