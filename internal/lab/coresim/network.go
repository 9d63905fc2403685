package coresim

import (
	"time"

	"dykering/internal/chain"
)

// heldLink is a link whose messages wait.
type heldLink struct {
	until    time.Duration
	messages []any
}

// send carries a message, in the order in which a link's messages were sent.
func (w *World) send(from *machine, envelope chain.Envelope) {
	envelope.Message = w.options.Flaw.message(envelope.Message)
	link := [2]string{from.address, envelope.To}
	if w.cuts[link] > 0 {
		return
	}
	if held := w.held[link]; held != nil {
		held.messages = append(held.messages, envelope.Message)
		return
	}
	arrives := max(w.now+leastDelay+time.Duration(w.random.Int64N(int64(mostDelay))), w.arrival[link]+time.Microsecond)
	w.arrival[link] = arrives
	w.at(arrives, func() {
		to := w.machine(envelope.To)
		if to == nil || w.cuts[link] > 0 {
			return
		}
		to.hear(envelope.Message)
	})
}

// hold has the messages from one address to another wait for a time: then all arrive, in order, also at a process that has
// started again meanwhile.
func (w *World) hold(from, to string, d time.Duration) {
	link := [2]string{from, to}
	if held := w.held[link]; held != nil {
		held.until = max(held.until, w.now+d)
		return
	}
	w.held[link] = &heldLink{until: w.now + d}
	w.release(link)
}

// release delivers what a link holds once its time is over.
func (w *World) release(link [2]string) {
	held := w.held[link]
	w.at(held.until, func() {
		if w.now < held.until {
			w.release(link)
			return
		}
		delete(w.held, link)
		for _, message := range held.messages {
			if to := w.machine(link[1]); to != nil && w.cuts[link] == 0 {
				to.hear(message)
			}
		}
	})
}

// cut breaks the links from one address to another for a time.
func (w *World) cut(from, to string, d time.Duration) {
	link := [2]string{from, to}
	w.cuts[link]++
	w.after(d, func() { w.cuts[link]-- })
}

func (w *World) isolate(m *machine, d time.Duration, out, in bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		if out {
			w.cut(m.address, other.address, d)
		}
		if in {
			w.cut(other.address, m.address, d)
		}
	}
}

// holdAll has the messages to a member wait and, where both is set, those that it sends.
func (w *World) holdAll(m *machine, d time.Duration, both bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		w.hold(other.address, m.address, d)
		if both {
			w.hold(m.address, other.address, d)
		}
	}
}
