package coresim

import (
	"errors"
	"time"

	"dykering/internal/chain"
)

const (
	operators    = 2
	writePause   = 240 * time.Millisecond
	busyPause    = 20 * time.Millisecond
	readEvery    = 300 * time.Millisecond
	callPatience = 900 * time.Millisecond
	retryPause   = 40 * time.Millisecond
	// resendEvery is after how many acknowledged operations an operator sends one of them again, as if its answer was lost.
	resendEvery = 6
)

// errConflict refuses an operation that builds on another version.
var errConflict = errors.New("another version is in place")

// operation is one change of the replicated list: it builds on the list's length, as a configuration's change builds on a
// version.
type operation struct{ number, base uint64 }

// operator sends one operation after another. One without a clear answer is sent again unchanged, to any member.
type operator struct {
	world   *World
	version uint64 // that it knows of
	acked   []operation
	call    int // counts the calls, so that a late answer is known
}

// clients write and read for as long as the world is played.
func (w *World) clients() {
	for range operators {
		o := &operator{world: w}
		w.after(w.jitter(writePause), o.next)
	}
	var read func()
	read = func() {
		w.read(w.pick(func(m *machine) bool { return m.node.IsTail() }), func(log) {})
		w.after(readEvery/2+w.jitter(readEvery), read)
	}
	w.after(writePause, read)
}

// pick draws one of the members that take themselves for something; nil for none.
func (w *World) pick(is func(*machine) bool) *machine {
	var fit []*machine
	for _, m := range w.machines {
		if m.runs() && is(m) {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.random.IntN(len(fit))]
}

func (o *operator) pause() time.Duration {
	pause := writePause
	if o.world.options.Busy {
		pause = busyPause
	}
	return pause/2 + o.world.jitter(pause)
}

// next begins another operation, or sends an acknowledged one again.
func (o *operator) next() {
	w := o.world
	if len(o.acked) > 0 && w.random.IntN(resendEvery) == 0 {
		o.resend(o.acked[w.random.IntN(len(o.acked))])
		return
	}
	w.nextOp++
	op := operation{number: w.nextOp, base: o.version}
	w.checker.begin(op)
	o.send(op)
}

// send sends an operation until it has a clear answer.
func (o *operator) send(op operation) {
	w := o.world
	o.ask(op, func(err error) {
		switch {
		case err == nil:
			w.checker.ack(op)
			o.acked, o.version = append(o.acked, op), op.base+1
			w.after(o.pause(), o.next)
		case errors.Is(err, errConflict):
			w.checker.refused(op)
			o.learn()
		default:
			w.after(w.jitter(retryPause), func() { o.send(op) })
		}
	})
}

// resend sends an operation again that was acknowledged: it may stay without a clear answer, but is never refused.
func (o *operator) resend(op operation) {
	w := o.world
	o.ask(op, func(err error) {
		if errors.Is(err, errConflict) {
			w.checker.refused(op)
		}
		w.after(o.pause(), o.next)
	})
}

// learn reads the version in place, and goes on.
func (o *operator) learn() {
	w := o.world
	o.call++
	call := o.call
	once := func(do func()) {
		if o.call == call {
			o.call++
			do()
		}
	}
	w.after(callPatience, func() { once(o.learn) })
	w.read(w.pick(func(m *machine) bool { return m.node.IsTail() }), func(value log) {
		once(func() {
			o.version = uint64(len(value.operations))
			w.after(o.pause(), o.next)
		})
	})
}

var errNoAnswer = errors.New("no answer in time")

// ask makes one call at a member that takes itself for the head. The answer comes once: the member's, or none in time.
func (o *operator) ask(op operation, answer func(error)) {
	w := o.world
	o.call++
	call := o.call
	once := func(err error) {
		if o.call == call {
			o.call++
			answer(err)
		}
	}
	w.after(callPatience, func() { once(errNoAnswer) })
	if m := w.pick(func(m *machine) bool { return m.node.IsHead() }); m != nil {
		m.take(op, once)
	}
}

// take takes an operation at a member as a control sidecar does.
func (m *machine) take(op operation, answer func(error)) {
	flaw, life := m.world.options.Flaw, m.life
	decide := func(latest any) chain.Decision { return flaw.decide(latest.(log), op) }
	if flaw == RefuseUnconfirmed && m.node.IsHead() {
		if refusal := decide(m.node.LatestState().Value).Rejection; refusal != nil {
			answer(refusal)
			return
		}
	}
	m.act(m.requests.Write(m.world.now, chain.Write{
		Decide:    decide,
		IsApplied: func(value any) bool { return value.(log).has(op.number) },
		Respond:   answer,
	}))
	if m.life == life && flaw == AckAtHead && m.node.LatestState().Value.(log).has(op.number) {
		answer(nil)
	}
}

// decide tells what the newest value makes of an operation.
func (f Flaw) decide(latest log, op operation) chain.Decision {
	switch {
	case f != ForgetTaken && latest.has(op.number):
		return chain.Decision{AlreadyApplied: true}
	case f != IgnoreBase && uint64(len(latest.operations)) != op.base:
		return chain.Decision{Rejection: errConflict}
	}
	return chain.Decision{Operation: encode(op)}
}

// read reads at a member that takes itself for the tail.
func (w *World) read(m *machine, answer func(log)) {
	if m == nil {
		return
	}
	acked, longest := len(w.checker.acked), w.checker.longest
	shown := func(value log) {
		w.checker.read(m.address, value, acked, longest)
		answer(value)
	}
	if w.options.Flaw == ReadUnconfirmed {
		shown(m.node.CommittedState().Value.(log))
		return
	}
	m.act(m.requests.Read(w.now, chain.Read{Respond: func(state chain.State, err error) {
		switch {
		case err != nil:
		case w.options.Flaw == ReadUnstored:
			shown(m.node.LatestState().Value.(log))
		default:
			shown(state.Value.(log))
		}
	}}))
}
