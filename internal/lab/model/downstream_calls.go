package model

import (
	"fmt"
	"math"
	"time"

	"dykering/internal/decision"
)

// call is a series of requests that a server sends to the next tier for one attempt, one after another.
type call struct {
	attempt *Attempt
	// remaining is the number of requests that are not complete, including the present one.
	remaining int
	// request is the present request.
	request *Request
}

// callNextTier begins the requests to the next tier that an attempt needs.
func (s *Server) callNextTier(a *Attempt) {
	downstream := s.w.Tiers[s.Tier.Index+1].downstream
	c := &call{attempt: a, remaining: max(int(math.Round(downstream.Calls.Draw(s.rng))), 1)}
	s.calls = append(s.calls, c)
	s.sendCall(c)
}

// sendCall sends the next request of a call. A share of the remaining time is reserved for the server's own
// work, so the deadline of the request is earlier.
func (s *Server) sendCall(c *call) {
	downstream, w := s.w.Tiers[s.Tier.Index+1], s.w
	request := c.attempt.Request
	remaining := time.Duration(float64(request.Deadline-w.Now()) * (1 - downstream.downstream.ReservedShare))
	id := fmt.Sprintf("%s:%d-%d", request.ID, c.attempt.Number, c.remaining)
	c.request = &Request{
		ID: decision.RequestID(id), Origin: id, Class: request.Class, Team: request.Team,
		Work:     max(downstream.downstream.Work.Draw(s.rng), 1e-6),
		Instance: downstream.Instances[s.ordinal%len(downstream.Instances)], Deadline: w.Now() + remaining, Requester: s, call: c,
	}
	nextRequest := c.request
	w.After(w.Latency(), func() { w.brokers.Accept(nextRequest) })
	w.After(max(remaining, 0), func() { s.Complete(nextRequest, timedOut, 0) })
}

// Complete implements Requester for servers. It receives the outcome of a request to the next tier, and
// sends the following request of the call or replies to the attempt.
func (s *Server) Complete(request *Request, outcome string, _ time.Duration) {
	c := request.call
	if request.Completed {
		return
	}
	if outcome == timedOut {
		s.w.brokers.Abandon(request)
	}
	request.Completed = true
	if c.remaining--; outcome == Served && c.remaining > 0 && !(c.attempt.Finished && s.kind.CancelSaves != "nothing") {
		s.sendCall(c)
		return
	}
	s.calls = remove(s.calls, c)
	status := decision.OK
	if outcome != Served {
		status = decision.Error
	}
	s.reply(c.attempt, status)
	s.startQueued()
}

// abandonCall ends a call whose attempt was cancelled.
func (s *Server) abandonCall(c *call) {
	s.calls = remove(s.calls, c)
	if request := c.request; !request.Completed {
		request.Completed = true
		s.w.brokers.Abandon(request)
	}
}
