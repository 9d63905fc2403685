package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// This file implements decision.Host. The Balancer calls these methods while it handles an event, in the loop's goroutine.
// They must neither block nor call the Balancer.

// Send starts an attempt. Within bounds the time from the event in which its last byte must be sent; 0 means no bound.
func (l *Loop) Send(id decision.RequestID, to decision.EndpointID, timeout, within time.Duration) {
	c := l.calls[id]
	a := NewAttempt(c, l.endpoints.byID[to], timeout, l)
	if within > 0 {
		a.SendBy = l.sendBy(within)
	}
	c.attempts++
	c.attempt = a
	l.startAttempt(a)
}

// sendBy returns the end of a bound that the Balancer has calculated for the current event. The loop may have been descheduled
// since then, so the bound does not count from the current time.
func (l *Loop) sendBy(within time.Duration) time.Time { return l.origin.Add(l.eventTime + within) }

// Cancel cancels an attempt that is in flight.
func (l *Loop) Cancel(id decision.RequestID, number int) {
	if c := l.calls[id]; c != nil && c.attempt != nil && c.attempt.number == number {
		c.attempt.Cancel()
	}
}

// Refuse answers a call with a rejection that the client may safely retry.
func (l *Loop) Refuse(id decision.RequestID, retryAfter time.Duration) {
	l.answerRequest(id, Answer{Retryable: true, RetryAfter: retryAfter})
}

// Fail answers a call with a failure that the client must not assume to be safe to retry.
func (l *Loop) Fail(id decision.RequestID) { l.answerRequest(id, Answer{}) }

// SetTimer calls the Balancer's Timer with the token after the given time.
func (l *Loop) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		l.Post(func() { l.balancer.Timer(l.now(), token) })
	})
}

// Watch restarts the watch of the endpoint list, or stops it.
func (l *Loop) Watch(on bool) {
	l.discovery.Stop()
	if on {
		l.discovery.Watch(l.watchFrom())
	}
}

// Fetch requests the full endpoint list once.
func (l *Loop) Fetch() { l.discovery.Fetch() }

// Log writes a message of the Balancer to the log.
func (l *Loop) Log(text string) { l.log.Info("decision.note", zap.String("text", text)) }
