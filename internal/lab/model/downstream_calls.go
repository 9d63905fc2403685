package model

import (
	"fmt"
	"math"
	"time"

	"dykering/internal/decision"
)

// call is a server's call, for an attempt, to the tier below.
type call struct {
	a    *Attempt
	left int // of them, with this one
	try  *Try
}

// callBelow has a server call the tier below for an attempt, one call after another.
func (s *Server) callBelow(a *Attempt) {
	b := s.w.Tiers[s.Tier.N+1].below
	c := &call{a: a, left: max(int(math.Round(b.Calls.Draw(s.rng))), 1)}
	s.calls = append(s.calls, c)
	s.next(c)
}

func (s *Server) next(c *call) {
	below, w := s.w.Tiers[s.Tier.N+1], s.w
	t := c.a.Try
	left := time.Duration(float64(t.Until-w.Now()) * (1 - below.below.Keeps))
	id := fmt.Sprintf("%s:%d-%d", t.ID, c.a.Number, c.left)
	c.try = &Try{
		ID: decision.RequestID(id), Origin: id, Class: t.Class, Team: t.Team, Work: max(below.below.Work.Draw(s.rng), 1e-6),
		Instance: below.Instances[s.ordinal%len(below.Instances)], Until: w.Now() + left, Asker: s, call: c,
	}
	try := c.try
	w.After(w.Latency(), func() { w.brokers.Take(try) })
	w.After(max(left, 0), func() { s.Hear(try, timedOut, 0) })
}

// Hear gives a server the answer to a call.
func (s *Server) Hear(t *Try, how string, _ time.Duration) {
	c := t.call
	if t.Heard {
		return
	}
	if how == timedOut {
		s.w.brokers.Lapse(t)
	}
	t.Heard = true
	if c.left--; how == Served && c.left > 0 && !(c.a.Over && s.kind.Stops != "nothing") {
		s.next(c)
		return
	}
	s.calls = remove(s.calls, c)
	status := decision.OK
	if how != Served {
		status = decision.Error
	}
	s.reply(c.a, status)
	s.pull()
}

// giveUp ends a call that nobody waits for any more.
func (s *Server) giveUp(c *call) {
	s.calls = remove(s.calls, c)
	if t := c.try; !t.Heard {
		t.Heard = true
		s.w.brokers.Lapse(t)
	}
}
