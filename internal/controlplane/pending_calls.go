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
type calls struct {
	last    uint64 // number given to a call
	waiting map[uint64]waitingCall
}

type waitingCall struct {
	until  time.Duration
	answer func(protocol.Reply)
}

const mostWaiting = 1024

func newCalls() calls { return calls{last: firstNumber(), waiting: map[uint64]waitingCall{}} }

// firstNumber draws the number that a life of a process begins to count its calls from. A reply carries the number of its
// call alone and may arrive after the caller has started again: it must not answer a call of the later life.
func firstNumber() uint64 { return mathrand.Uint64()>>1 + 1 }

// number gives the next call its number. It is never 0.
func (c *calls) number() uint64 {
	c.last++
	return c.last
}

func failure(err error) protocol.Reply {
	return protocol.Reply{Failed: true, Kind: int(errkind.KindOf(err)), Detail: err.Error()}
}

func unavailable(detail string) protocol.Reply {
	return failure(errkind.New(errkind.Unavailable, detail))
}

// forward sends a call to another control sidecar and notes who waits for the reply.
func (p *Process) forward(address string, message func(number uint64) any, answer func(protocol.Reply)) {
	if len(p.calls.waiting) >= mostWaiting {
		answer(unavailable("too many calls are waiting"))
		return
	}
	number := p.calls.number()
	p.calls.waiting[number] = waitingCall{until: p.now() + p.timing.answerWithin, answer: answer}
	p.send(address, message(number))
}

func (p *Process) onReply(reply protocol.Reply) {
	if call, ok := p.calls.waiting[reply.ID]; ok {
		delete(p.calls.waiting, reply.ID)
		call.answer(reply)
	}
}

// write has a change taken by the head.
func (p *Process) write(change fleetconfig.Change, answer func(protocol.Reply)) {
	if p.node.IsHead() {
		p.writeHere(change, answer)
		return
	}
	view := p.node.View()
	head, ok := view.Voter(view.Head())
	if !ok || !p.node.IsReachable(p.now(), head.Address) {
		answer(unavailable("no head can be reached"))
		return
	}
	p.forward(head.Address, func(id uint64) any {
		return protocol.Write{From: p.node.Self().Address, ID: id, Change: change}
	}, answer)
}

// writeHere takes a change where this member is the head.
func (p *Process) writeHere(change fleetconfig.Change, answer func(protocol.Reply)) {
	digests := change.Digests()
	p.carryOut(p.requests.Write(p.now(), chain.Write{
		Decide:    func(latest any) chain.Decision { return decide(latest.(*fleetconfig.State), digests, change) },
		IsApplied: func(value any) bool { return value.(*fleetconfig.State).HasAny(digests) },
		Respond:   func(err error) { answer(replyOf(err)) },
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
func replyOf(err error) protocol.Reply {
	var refusal *errkind.Error
	switch {
	case err == nil:
		return protocol.Reply{}
	case errors.As(err, &refusal):
		return failure(err)
	}
	return unavailable(err.Error())
}

// read has the tail give the configuration.
func (p *Process) read(answer func(protocol.Reply)) {
	if p.node.IsTail() {
		p.readHere(answer)
		return
	}
	view := p.node.View()
	tail, ok := view.Voter(view.Tail())
	if !ok || !p.node.IsReachable(p.now(), tail.Address) {
		answer(unavailable("no tail can be reached"))
		return
	}
	p.forward(tail.Address, func(id uint64) any { return protocol.Read{From: p.node.Self().Address, ID: id} }, answer)
}

// readHere gives the configuration where this member is the tail.
func (p *Process) readHere(answer func(protocol.Reply)) {
	p.carryOut(p.requests.Read(p.now(), chain.Read{Respond: func(state chain.State, err error) {
		if err != nil {
			answer(replyOf(err))
			return
		}
		answer(protocol.Reply{Document: state.Value.(*fleetconfig.State).Document})
	}}))
}

func (p *Process) expireCalls(now time.Duration) {
	for id, call := range p.calls.waiting {
		if now > call.until {
			delete(p.calls.waiting, id)
			call.answer(unavailable("no reply in time"))
		}
	}
}
