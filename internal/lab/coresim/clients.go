package coresim

import (
	"errors"
	"time"

	"dykering/internal/chain"
)

// The load on the simulated core.
const (
	operatorCount = 2
	// writePause is the mean time from the answer to an operation until the next operation.
	writePause = 240 * time.Millisecond
	// busyPause is the same with Options.Busy.
	busyPause = 20 * time.Millisecond
	// readInterval is the mean time between two reads.
	readInterval = 300 * time.Millisecond
	// callTimeout is the time that a client waits for an answer.
	callTimeout = 900 * time.Millisecond
	// maxRetryPause is the longest time until an operation without an answer is retried.
	maxRetryPause = 40 * time.Millisecond
	// One in resendFraction operations is a repetition of an acknowledged one, as if its answer had been lost.
	resendFraction = 6
)

var (
	// errConflict rejects an operation whose base is not the latest version.
	errConflict = errors.New("the base of the operation is not the latest version")
	// errNoAnswer ends a call without an answer. The operation may have been applied.
	errNoAnswer = errors.New("no answer within the call timeout")
)

// operation is an entry that is appended to the replicated list if its base equals the length of the list. It models a change
// of the configuration, which is accepted only if it builds on the latest version.
type operation struct{ number, base uint64 }

// operator is a client that sends one operation after another. It retries an operation without a definite answer unchanged, at
// any member that considers itself the head.
type operator struct {
	sim *Simulation
	// version is the latest version that the operator knows.
	version uint64
	// acked are the operator's acknowledged operations.
	acked []operation
	// callNumber identifies the present call: answers to earlier ones are ignored.
	callNumber int
}

// startClients starts the operators and a reader.
func (sim *Simulation) startClients() {
	for range operatorCount {
		o := &operator{sim: sim}
		sim.after(sim.jitter(writePause), o.next)
	}
	var read func()
	read = func() {
		sim.read(sim.randomMachine((*chain.Node).IsTail), func(log) {})
		sim.after(readInterval/2+sim.jitter(readInterval), read)
	}
	sim.after(writePause, read)
}

// randomMachine returns a random running machine whose node satisfies a condition, or nil.
func (sim *Simulation) randomMachine(satisfies func(*chain.Node) bool) *machine {
	var candidates []*machine
	for _, m := range sim.machines {
		if m.isRunning() && satisfies(m.node) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[sim.random.IntN(len(candidates))]
}

// pause returns a random time before the next operation.
func (o *operator) pause() time.Duration {
	pause := writePause
	if o.sim.options.Busy {
		pause = busyPause
	}
	return pause/2 + o.sim.jitter(pause)
}

// next sends a new operation, or repeats an acknowledged one.
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

// send sends an operation until it is acknowledged or rejected.
func (o *operator) send(op operation) {
	sim := o.sim
	o.call(op, func(err error) {
		switch {
		case err == nil:
			sim.checker.acknowledge(op)
			o.acked = append(o.acked, op)
			o.version = op.base + 1
			sim.after(o.pause(), o.next)
		case errors.Is(err, errConflict):
			sim.checker.reject(op)
			o.readVersion()
		default:
			sim.after(sim.jitter(maxRetryPause), func() { o.send(op) })
		}
	})
}

// resend repeats an acknowledged operation once. The call may stay without an answer, but must not be rejected.
func (o *operator) resend(op operation) {
	sim := o.sim
	o.call(op, func(err error) {
		if errors.Is(err, errConflict) {
			sim.checker.reject(op)
		}
		sim.after(o.pause(), o.next)
	})
}

// readVersion reads the current version, with retries until there is an answer, and then continues with the next operation.
func (o *operator) readVersion() {
	sim := o.sim
	once := o.beginCall()
	sim.after(callTimeout, func() { once(o.readVersion) })
	sim.read(sim.randomMachine((*chain.Node).IsTail), func(value log) {
		once(func() {
			o.version = uint64(len(value.operations))
			sim.after(o.pause(), o.next)
		})
	})
}

// call makes one call to a member that considers itself the head. It passes on exactly one answer: that of the member, or
// errNoAnswer.
func (o *operator) call(op operation, answer func(error)) {
	sim := o.sim
	once := o.beginCall()
	respond := func(err error) { once(func() { answer(err) }) }
	sim.after(callTimeout, func() { respond(errNoAnswer) })
	if m := sim.randomMachine((*chain.Node).IsHead); m != nil {
		m.submit(op, respond)
	}
}

// beginCall begins a call. It returns a function that runs its argument, but only the first time it is called, and only if no
// other call has begun meanwhile.
func (o *operator) beginCall() (once func(run func())) {
	o.callNumber++
	number := o.callNumber
	return func(run func()) {
		if o.callNumber == number {
			o.callNumber++
			run()
		}
	}
}

// submit handles an operation at a member in the way that the control process does.
func (m *machine) submit(op operation, answer func(error)) {
	flaw, incarnation := m.sim.options.Flaw, m.incarnation
	decide := func(latest any) chain.Decision { return flaw.decide(latest.(log), op) }
	if flaw == RejectUnconfirmed && m.node.IsHead() {
		if rejection := decide(m.node.LatestState().Value).Rejection; rejection != nil {
			answer(rejection)
			return
		}
	}
	m.process(m.requests.Write(m.sim.now, chain.Write{
		Decide:    decide,
		IsApplied: func(value any) bool { return value.(log).has(op.number) },
		Respond:   answer,
	}))
	if m.incarnation == incarnation && flaw == AckAtHead && m.node.LatestState().Value.(log).has(op.number) {
		answer(nil)
	}
}

// decide returns the decision of a head with the flaw on an operation, given its latest value.
func (f Flaw) decide(latest log, op operation) chain.Decision {
	switch {
	case f != ForgetApplied && latest.has(op.number):
		return chain.Decision{AlreadyApplied: true}
	case f != IgnoreBase && uint64(len(latest.operations)) != op.base:
		return chain.Decision{Rejection: errConflict}
	}
	return chain.Decision{Operation: encode(op)}
}

// read reads at a member that considers itself the tail, and checks the result. There is no answer if m is nil or the read
// fails.
func (sim *Simulation) read(m *machine, answer func(log)) {
	if m == nil {
		return
	}
	acked, longest := len(sim.checker.acked), sim.checker.longestRead
	respond := func(value log) {
		sim.checker.checkRead(m.address, value, acked, longest)
		answer(value)
	}
	if sim.options.Flaw == ReadUnconfirmed {
		respond(m.node.CommittedState().Value.(log))
		return
	}
	m.process(m.requests.Read(sim.now, chain.Read{Respond: func(state chain.State, err error) {
		switch {
		case err != nil:
		case sim.options.Flaw == ReadUncommitted:
			respond(m.node.LatestState().Value.(log))
		default:
			respond(state.Value.(log))
		}
	}}))
}
