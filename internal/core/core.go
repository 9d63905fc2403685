// Package core is what every protocol needs so that its calls are decided about and carried out: the calls from
// their arrival to their final answer, the loop that owns the decisions, the table of endpoints, the connections to
// them, the lifecycle, and the budgets of memory and sockets. It makes no decisions (they are the Balancer's) and
// knows no protocol: a front brings calls and delivers the final answers, an upstream carries attempts out.
package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
	"dykering/internal/settings"
)

// Config is what a Loop is started with.
type Config struct {
	Settings         settings.Settings
	Seed             uint64
	Limits           Limits // that this process may use
	CachedList       List   // the endpoints as this instance last had them; may be old
	DiscoveryAddress string // the address at which the list is asked for
	Log              *zap.Logger
}

// Upstream carries attempts out, in a protocol.
type Upstream interface {
	// Send makes one attempt. The connection is one that its endpoint's last attempt has left; nil asks for a new
	// one. When Send returns, the connection is closed or in the result, so that the call may be sent again. It may
	// block until the attempt's context ends, and little longer.
	Send(a *Attempt, over Conn) Result
}

// Result is how an attempt ended.
type Result struct {
	Status        decision.Status
	Elapsed       time.Duration  // from the sending to the answer
	Response      Response       // the whole of a good answer; nil otherwise, and for one that was begun
	Load          *decision.Load // that the endpoint has reported; nil for none
	Conn          Conn           // that can carry another attempt; nil for none
	NotReplayable bool           // what was sent cannot be sent again
}

// Response is an endpoint's good answer, in terms of the protocol.
type Response interface {
	// Discard lets go of it, whether it was passed on or not.
	Discard()
}

// Answer is the final answer to a call: an endpoint's response, or a refusal or failure of our own.
type Answer struct {
	Response   Response // nil unless it was served
	Retryable  bool     // it has not run, or may run again: trying again is harmless
	RetryAfter time.Duration
}

// Discard lets go of what an answer holds.
func (a Answer) Discard() {
	if a.Response != nil {
		a.Response.Discard()
	}
}

// Call is one request of a front, from its arrival until it is answered and its last attempt has ended. The loop
// owns it from Arrive on; a front waits at Final, and an upstream reads Message.
type Call struct {
	decision.Request
	Message  any         // what an upstream sends
	Answered chan Answer // holds one, so that the loop never waits for a front
	// Deadline is when its attempts end, so that the last byte of its answer is out in time. The loop sets it.
	Deadline time.Time

	attempts int
	attempt  *Attempt
	answered bool
}

// NewCall makes a call.
func NewCall(q decision.Request, message any) *Call {
	return &Call{Request: q, Message: message, Answered: make(chan Answer, 1)}
}

// endBy cuts the time of a call's further attempts; a zero time leaves it.
func (c *Call) limitDeadline(end time.Time) {
	if !end.IsZero() && end.Before(c.Deadline) {
		c.Deadline = end
	}
}

// Discovery tells which endpoints there are. The loop calls its methods, that never wait; what it brings goes to its
// sink, in the loop's own time.
type Discovery interface {
	// Watch begins to watch for what changes after a version; nil asks for the whole list first.
	Watch(since *uint64)
	// Stop ends the watch: nothing that it brought and that the loop has not yet taken counts.
	Stop()
	// Fetch gets the whole list once, unless that is under way.
	Fetch()
}

// Sink takes what a Discovery brings.
type Sink interface {
	// Post has the loop call a function.
	Post(func())
	// Listed and ListFailed are called in the loop. They pass over what is not of the discovery that is followed.
	ListReceived(from Discovery, l List, how Source)
	ListFailed(from Discovery, err error)
}

// Discover makes the Discovery at an address.
type NewDiscovery func(address string, to Sink) Discovery

// noRoomFor is how long callers should stay away from an instance that has no room for them, or drains.
const overloadRetryAfter = time.Second

// TurnedAway is the answer to a request that there is no room for, and that the Balancer never hears of.
func RejectedAnswer(s *settings.Settings) Answer {
	return Answer{Retryable: true, RetryAfter: min(overloadRetryAfter, s.MaxRetryAfter)}
}
