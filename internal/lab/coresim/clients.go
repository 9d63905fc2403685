package coresim

import (
	"errors"
	"time"

	"dykering/internal/chain"
)

const (
	operatorCount = 2
	writePause    = 240 * time.Millisecond
	busyPause     = 20 * time.Millisecond
	readInterval  = 300 * time.Millisecond
	callTimeout   = 900 * time.Millisecond
	retryPause    = 40 * time.Millisecond
	// resendEvery is after how many acknowledged operations an operator sends one of them again, as if its answer was lost.
	resendFraction = 6
)

// errConflict refuses an operation that builds on another version.
var errConflict = errors.New("another version is in place")

// operation is one change of the replicated list: it builds on the list's length, as a configuration's change builds on a
// version.
type operation struct{ number, base uint64 }

// operator sends one operation after another. One without a clear answer is sent again unchanged, to any member.
type operator struct {
	sim        *Simulation
	version    uint64 // that it knows of
	acked      []operation
	callNumber int // counts the calls, so that a late answer is known
}

// clients write and read for as long as the world is played.
func (sim *Simulation) startClients() {
	for range operatorCount {
		o := &operator{sim: sim}
		sim.after(sim.jitter(writePause), o.next)
	}
	var read func()
	read = func() {
		sim.read(sim.randomMachine(func(m *machine) bool { return m.node.IsTail() }), func(log) {})
		sim.after(readInterval/2+sim.jitter(readInterval), read)
	}
	sim.after(writePause, read)
}

// pick draws one of the members that take themselves for something; nil for none.
func (sim *Simulation) randomMachine(is func(*machine) bool) *machine {
	var fit []*machine
	for _, m := range sim.machines {
		if m.isRunning() && is(m) {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[sim.random.IntN(len(fit))]
}

func (o *operator) pause() time.Duration {
	pause := writePause
	if o.sim.options.Busy {
		pause = busyPause
	}
	return pause/2 + o.sim.jitter(pause)
}

// next begins another operation, or sends an acknowledged one again.
func (o *operator) next() {
	sim := o.sim
	if len(o.acked) > 0 && sim.random.IntN(resendFraction) == 0 {
		o.resend(o.acked[sim.random.IntN(len(o.acked))])
		return
	}
	sim.lastOperation++
	op := operation{number: sim.lastOperation, base: o.version}
	sim.checker.begin(op)
	o.send(op)
}

// send sends an operation until it has a clear answer.
func (o *operator) send(op operation) {
	sim := o.sim
	o.call(op, func(err error) {
		switch {
		case err == nil:
			sim.checker.acknowledge(op)
			o.acked, o.version = append(o.acked, op), op.base+1
			sim.after(o.pause(), o.next)
		case errors.Is(err, errConflict):
			sim.checker.reject(op)
			o.readVersion()
		default:
			sim.after(sim.jitter(retryPause), func() { o.send(op) })
		}
	})
}

// resend sends an operation again that was acknowledged: it may stay without a clear answer, but is never refused.
func (o *operator) resend(op operation) {
	sim := o.sim
	o.call(op, func(err error) {
		if errors.Is(err, errConflict) {
			sim.checker.reject(op)
		}
		sim.after(o.pause(), o.next)
	})
}

// learn reads the version in place, and goes on.
func (o *operator) readVersion() {
	sim := o.sim
	o.callNumber++
	call := o.callNumber
	once := func(do func()) {
		if o.callNumber == call {
			o.callNumber++
			do()
		}
	}
	sim.after(callTimeout, func() { once(o.readVersion) })
	sim.read(sim.randomMachine(func(m *machine) bool { return m.node.IsTail() }), func(value log) {
		once(func() {
			o.version = uint64(len(value.operations))
			sim.after(o.pause(), o.next)
		})
	})
}

var errNoAnswer = errors.New("no answer in time")

// ask makes one call at a member that takes itself for the head. The answer comes once: the member's, or none in time.
func (o *operator) call(op operation, answer func(error)) {
	sim := o.sim
	o.callNumber++
	call := o.callNumber
	once := func(err error) {
		if o.callNumber == call {
			o.callNumber++
			answer(err)
		}
	}
	sim.after(callTimeout, func() { once(errNoAnswer) })
	if m := sim.randomMachine(func(m *machine) bool { return m.node.IsHead() }); m != nil {
		m.submit(op, once)
	}
}

// take takes an operation at a member as a control sidecar does.
func (m *machine) submit(op operation, answer func(error)) {
	flaw, life := m.sim.options.Flaw, m.incarnation
	decide := func(latest any) chain.Decision { return flaw.decide(latest.(log), op) }
	if flaw == RejectUnconfirmed && m.node.IsHead() {
		if refusal := decide(m.node.LatestState().Value).Rejection; refusal != nil {
			answer(refusal)
			return
		}
	}
	m.process(m.requests.Write(m.sim.now, chain.Write{
		Decide:    decide,
		IsApplied: func(value any) bool { return value.(log).has(op.number) },
		Respond:   answer,
	}))
	if m.incarnation == life && flaw == AckAtHead && m.node.LatestState().Value.(log).has(op.number) {
		answer(nil)
	}
}

// decide tells what the newest value makes of an operation.
func (f Flaw) decide(latest log, op operation) chain.Decision {
	switch {
	case f != ForgetApplied && latest.has(op.number):
		return chain.Decision{AlreadyApplied: true}
	case f != IgnoreBase && uint64(len(latest.operations)) != op.base:
		return chain.Decision{Rejection: errConflict}
	}
	return chain.Decision{Operation: encode(op)}
}

// read reads at a member that takes itself for the tail.
func (sim *Simulation) read(m *machine, answer func(log)) {
	if m == nil {
		return
	}
	acked, longest := len(sim.checker.acked), sim.checker.longestRead
	shown := func(value log) {
		sim.checker.checkRead(m.address, value, acked, longest)
		answer(value)
	}
	if sim.options.Flaw == ReadUnconfirmed {
		shown(m.node.CommittedState().Value.(log))
		return
	}
	m.process(m.requests.Read(sim.now, chain.Read{Respond: func(state chain.State, err error) {
		switch {
		case err != nil:
		case sim.options.Flaw == ReadUncommitted:
			shown(m.node.LatestState().Value.(log))
		default:
			shown(state.Value.(log))
		}
	}}))
}
