package controlplane

import (
	mathrand "math/rand/v2"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/feed"
	"dykering/internal/fleetconfig"
)

// calls are those of this process to other control sidecars that wait for a reply.
type calls struct {
	last    uint64 // number given to a call
	waiting map[uint64]waitingCall
}

type waitingCall struct {
	until  time.Duration
	answer func(feed.Reply)
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

// pendingWrite waits at the head for its change to be committed, or for its refusal to be certain.
type pendingWrite struct {
	digest  fleetconfig.Digest
	refusal error // nil for a change that was taken
	view    uint64
	seq     uint64 // committed before the refusal is told
	since   time.Duration
	until   time.Duration
	answer  func(feed.Reply)
}

// pendingRead waits at the tail until a majority has confirmed the view.
type pendingRead struct {
	view   uint64
	since  time.Duration
	until  time.Duration
	answer func(feed.Reply)
}

func failure(err error) feed.Reply {
	return feed.Reply{Failed: true, Kind: int(errkind.KindOf(err)), Detail: err.Error()}
}

func unavailable(detail string) feed.Reply { return failure(errkind.New(errkind.Unavailable, detail)) }

// forward sends a call to another control sidecar and notes who waits for the reply.
func (p *Process) forward(address string, message func(number uint64) any, answer func(feed.Reply)) {
	if len(p.calls.waiting) >= mostWaiting {
		answer(unavailable("too many calls are waiting"))
		return
	}
	number := p.calls.number()
	p.calls.waiting[number] = waitingCall{until: p.now() + p.timing.answerWithin, answer: answer}
	p.send(address, message(number))
}

func (p *Process) onReply(reply feed.Reply) {
	if call, ok := p.calls.waiting[reply.ID]; ok {
		delete(p.calls.waiting, reply.ID)
		call.answer(reply)
	}
}

// write has a change taken by the head.
func (p *Process) write(change fleetconfig.Change, answer func(feed.Reply)) {
	if p.node.IsHead() {
		p.writeHere(change, answer)
		return
	}
	view := p.node.View()
	head, ok := view.Voter(view.Head())
	if !ok || !p.node.Reaches(p.now(), head.Address) {
		answer(unavailable("no head can be reached"))
		return
	}
	p.forward(head.Address, func(id uint64) any {
		return feed.Write{From: p.node.Self().Address, ID: id, Change: change}
	}, answer)
}

func (p *Process) writeHere(change fleetconfig.Change, answer func(feed.Reply)) {
	if !p.node.IsHead() || !p.inForce() || len(p.writes) >= mostWaiting {
		answer(unavailable("this member is not the head"))
		return
	}
	latest := p.node.Latest()
	state := latest.Value.(*fleetconfig.State)
	now := p.now()
	pending := pendingWrite{digest: change.Digest(), view: p.node.View().Number, seq: latest.Seq, since: now,
		until: now + p.timing.answerWithin, answer: answer}
	if !state.Has(pending.digest) {
		_, pending.refusal = state.Next(&change)
		if pending.refusal == nil {
			if !p.propose(change) {
				answer(unavailable("no change can be taken now"))
				return
			}
		}
	}
	p.writes = append(p.writes, pending)
	if pending.refusal != nil {
		p.act(p.node.PingNow(now))
	}
}

// inForce tells whether a majority has lately confirmed the view: who was left behind sends callers elsewhere at once.
func (p *Process) inForce() bool {
	now := p.now()
	return now-p.node.Confirmed(now) < p.timing.suspectAfter
}

func (p *Process) propose(change fleetconfig.Change) bool {
	operation, err := encodeOperation(change)
	if err != nil {
		return false
	}
	_, out, ok := p.node.Propose(operation)
	if ok {
		p.act(out)
	}
	return ok
}

// read has the tail give the configuration.
func (p *Process) read(answer func(feed.Reply)) {
	if p.node.IsTail() {
		p.readHere(answer)
		return
	}
	view := p.node.View()
	tail, ok := view.Voter(view.Tail())
	if !ok || !p.node.Reaches(p.now(), tail.Address) {
		answer(unavailable("no tail can be reached"))
		return
	}
	p.forward(tail.Address, func(id uint64) any { return feed.Read{From: p.node.Self().Address, ID: id} }, answer)
}

func (p *Process) readHere(answer func(feed.Reply)) {
	if !p.node.IsTail() || len(p.reads) >= mostWaiting {
		answer(unavailable("this member is not the tail"))
		return
	}
	now := p.now()
	p.reads = append(p.reads, pendingRead{view: p.node.View().Number, since: now, until: now + p.timing.answerWithin, answer: answer})
	p.act(p.node.PingNow(now))
}

// settleCalls answers the writes and reads that can be.
func (p *Process) settleCalls(now time.Duration) {
	if len(p.writes) > 0 {
		committed := p.node.CommittedState().Value.(*fleetconfig.State)
		confirmed := p.node.Confirmed(now)
		kept := p.writes[:0]
		for _, w := range p.writes {
			if !p.settleWrite(w, committed, confirmed, now) {
				kept = append(kept, w)
			}
		}
		clear(p.writes[len(kept):])
		p.writes = kept
	}
	if len(p.reads) > 0 {
		kept := p.reads[:0]
		for _, r := range p.reads {
			if !p.settleRead(r, now) {
				kept = append(kept, r)
			}
		}
		clear(p.reads[len(kept):])
		p.reads = kept
	}
}

func (p *Process) settleWrite(w pendingWrite, committed *fleetconfig.State, confirmed, now time.Duration) bool {
	switch {
	case w.refusal == nil && committed.Has(w.digest):
		w.answer(feed.Reply{})
	case w.refusal != nil && w.view == p.node.View().Number && p.node.CommittedSeq() >= w.seq && confirmed >= w.since:
		w.answer(failure(w.refusal))
	case w.refusal != nil && w.view != p.node.View().Number, now > w.until:
		w.answer(unavailable("not committed in time"))
	default:
		return false
	}
	return true
}

func (p *Process) settleRead(r pendingRead, now time.Duration) bool {
	switch {
	case r.view != p.node.View().Number || now > r.until:
		r.answer(unavailable("not confirmed in time"))
	case p.node.Confirmed(now) >= r.since:
		state := p.node.CommittedState().Value.(*fleetconfig.State) // what the tail has stored
		r.answer(feed.Reply{Document: state.Document})
	default:
		return false
	}
	return true
}

func (p *Process) expireCalls(now time.Duration) {
	for id, call := range p.calls.waiting {
		if now > call.until {
			delete(p.calls.waiting, id)
			call.answer(unavailable("no reply in time"))
		}
	}
}
