package coresim

import (
	"time"

	"dykering/internal/chain"
)

// heldLink is a link whose messages wait.
type delayedLink struct {
	until    time.Duration
	messages []any
}

// send carries a message, in the order in which a link's messages were sent.
func (w *Simulation) send(from *machine, envelope chain.Envelope) {
	envelope.Message = w.options.Flaw.message(envelope.Message)
	link := [2]string{from.address, envelope.To}
	if w.blocked[link] > 0 {
		return
	}
	if held := w.delayed[link]; held != nil {
		held.messages = append(held.messages, envelope.Message)
		return
	}
	arrives := max(w.now+minDelay+time.Duration(w.random.Int64N(int64(maxExtraDelay))), w.lastArrival[link]+time.Microsecond)
	w.lastArrival[link] = arrives
	w.at(arrives, func() {
		to := w.machine(envelope.To)
		if to == nil || w.blocked[link] > 0 {
			return
		}
		to.receive(envelope.Message)
	})
}

// hold has the messages from one address to another wait for a time: then all arrive, in order, also at a process that has
// started again meanwhile.
func (w *Simulation) delay(from, to string, d time.Duration) {
	link := [2]string{from, to}
	if held := w.delayed[link]; held != nil {
		held.until = max(held.until, w.now+d)
		return
	}
	w.delayed[link] = &delayedLink{until: w.now + d}
	w.release(link)
}

// release delivers what a link holds once its time is over.
func (w *Simulation) release(link [2]string) {
	held := w.delayed[link]
	w.at(held.until, func() {
		if w.now < held.until {
			w.release(link)
			return
		}
		delete(w.delayed, link)
		for _, message := range held.messages {
			if to := w.machine(link[1]); to != nil && w.blocked[link] == 0 {
				to.receive(message)
			}
		}
	})
}

// cut breaks the links from one address to another for a time.
func (w *Simulation) block(from, to string, d time.Duration) {
	link := [2]string{from, to}
	w.blocked[link]++
	w.after(d, func() { w.blocked[link]-- })
}

func (w *Simulation) isolate(m *machine, d time.Duration, out, in bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		if out {
			w.block(m.address, other.address, d)
		}
		if in {
			w.block(other.address, m.address, d)
		}
	}
}

// holdAll has the messages to a member wait and, where both is set, those that it sends.
func (w *Simulation) delayMember(m *machine, d time.Duration, both bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		w.delay(other.address, m.address, d)
		if both {
			w.delay(m.address, other.address, d)
		}
	}
}
