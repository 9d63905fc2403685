package coresim

import (
	"errors"
	"time"

	"dykering/internal/chain"
)

// The load on the simulated core.
const (
	operatorCount = 2
	// writePause is the mean time between the answer to an operation and the next one, busyPause that with Options.Busy.
	writePause = 240 * time.Millisecond
	busyPause  = 20 * time.Millisecond
	// readInterval is the mean time between two reads.
	readInterval = 300 * time.Millisecond
	// callTimeout is how long a client waits for an answer.
	callTimeout = 900 * time.Millisecond
	// maxRetryPause is the longest time before an operation without an answer is sent again.
	maxRetryPause = 40 * time.Millisecond
	// resendFraction is the mean number of operations of which one is an acknowledged one sent again, as if its answer had
	// been lost.
	resendFraction = 6
)

var (
	// errConflict rejects an operation that builds on another version.
	errConflict = errors.New("another version is in place")
	// errNoAnswer ends a call without an answer: the operation may have been applied.
	errNoAnswer = errors.New("no answer in time")
)

// operation appends itself to the replicated list, on the condition that its base is the list's length. A change of the
// configuration builds on a version in the same way.
type operation struct{ number, base uint64 }

// operator is a client that sends one operation after another. It sends one without a clear answer again unchanged, to any
// member that believes to be the head.
type operator struct {
	sim *Simulation
	// version is the latest version that the operator knows of.
	version uint64
	acked   []operation
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

// randomMachine returns one of the running machines whose node satisfies a condition; nil for none.
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

// next sends another operation, or an acknowledged one again.
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

// resend sends an acknowledged operation once more. It need not be answered, but must not be rejected.
func (o *operator) resend(op operation) {
	sim := o.sim
	o.call(op, func(err error) {
		if errors.Is(err, errConflict) {
			sim.checker.reject(op)
		}
		sim.after(o.pause(), o.next)
	})
}

// readVersion reads the current version, until it has an answer, and then goes on with the next operation.
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

// call makes one call at a member that believes to be the head. The answer is given once: the member's, or errNoAnswer.
func (o *operator) call(op operation, answer func(error)) {
	sim := o.sim
	once := o.beginCall()
	respond := func(err error) { once(func() { answer(err) }) }
	sim.after(callTimeout, func() { respond(errNoAnswer) })
	if m := sim.randomMachine((*chain.Node).IsHead); m != nil {
		m.submit(op, respond)
	}
}

// beginCall begins a call. The function that it returns runs the first function that it is given, unless another call has
// begun since.
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

// submit takes an operation at a member, as a control process does.
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

// decide decides on an operation by the head's latest value.
func (f Flaw) decide(latest log, op operation) chain.Decision {
	switch {
	case f != ForgetApplied && latest.has(op.number):
		return chain.Decision{AlreadyApplied: true}
	case f != IgnoreBase && uint64(len(latest.operations)) != op.base:
		return chain.Decision{Rejection: errConflict}
	}
	return chain.Decision{Operation: encode(op)}
}

// read reads at a member that believes to be the tail, and checks the result. There is no answer if m is nil or fails.
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
