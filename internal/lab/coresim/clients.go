package coresim

import (
	"time"

	"dykering/internal/chain"
)

const (
	writeEvery   = 120 * time.Millisecond
	readEvery    = 300 * time.Millisecond
	callPatience = 900 * time.Millisecond
	callLook     = 2 * time.Millisecond
)

// clients write and read for as long as the world is played.
func (w *World) clients() {
	var write, read func()
	write = func() {
		w.write(w.pick(func(m *machine) bool { return m.node.IsHead() }))
		w.after(writeEvery/2+time.Duration(w.random.Int64N(int64(writeEvery))), write)
	}
	read = func() {
		w.read(w.pick(func(m *machine) bool { return m.node.IsTail() }))
		w.after(readEvery/2+time.Duration(w.random.Int64N(int64(readEvery))), read)
	}
	w.after(writeEvery, write)
	w.after(readEvery, read)
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

// write proposes an operation at a member that takes itself for the head, and acknowledges it as a control sidecar
// does: once it is committed.
func (w *World) write(m *machine) {
	if m == nil {
		return
	}
	w.nextOp++
	number := w.nextOp
	w.checker.begin(number)
	_, out, ok := m.node.Propose(encode(number))
	if !ok {
		return
	}
	m.act(out)
	w.await(m, func() bool {
		taken := m.node.CommittedState()
		if w.options.Flaw == AckAtHead {
			taken = m.node.Latest()
		}
		if !taken.Value.(log).has(number) {
			return false
		}
		w.checker.ack(number)
		return true
	})
}

// read reads at a member that takes itself for the tail.
func (w *World) read(m *machine) {
	if m == nil {
		return
	}
	since, acked, longest, view := w.now, len(w.checker.acked), w.checker.longest, m.node.View().Number
	m.act(m.node.PingNow(w.now))
	w.await(m, func() bool {
		if m.node.View().Number != view {
			return true
		}
		if w.options.Flaw != ReadUnconfirmed && m.node.Confirmed(w.now) < since {
			return false
		}
		shown := m.node.CommittedState()
		if w.options.Flaw == ReadUnstored {
			shown = m.node.Latest()
		}
		w.checker.read(m.address, shown.Value.(log), acked, longest)
		return true
	})
}

// await looks at a member until something is done there, its process has ended, or a caller's patience has.
func (w *World) await(m *machine, done func() bool) {
	life, until := m.life, w.now+callPatience
	var look func()
	look = func() {
		if m.life != life || !m.up || w.now > until {
			return
		}
		if m.runs() && done() {
			return
		}
		w.after(callLook, look)
	}
	look()
}

// Progress tells whether operations are still acknowledged, by writing until one is.
func (w *World) Progress(within time.Duration) bool {
	before := w.checker.Acks
	until := w.now + within
	for w.now < until {
		if w.Run(w.now+callPatience/4) != nil {
			return false
		}
		if w.checker.Acks > before {
			return true
		}
	}
	return false
}

// State describes the members, for those who look at a failure.
func (w *World) State() []chain.View {
	var views []chain.View
	for _, m := range w.machines {
		if m.up {
			views = append(views, m.node.View())
		}
	}
	return views
}
