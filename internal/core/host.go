package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// This file is the Loop's part as the Balancer's decision.Host. The Balancer calls these methods from within its events,
// in the loop's goroutine; they never block and never call the Balancer.

// Send makes an attempt. Within is the time by which its last byte must be sent, 0 for no bound.
func (l *Loop) Send(id decision.RequestID, to decision.EndpointID, timeout, within time.Duration) {
	c := l.calls[id]
	a := NewAttempt(c, l.endpoints.byID[to], timeout, l)
	if within > 0 {
		a.SendBy = a.sentAt.Add(within)
	}
	c.attempts++
	c.attempt = a
	l.startAttempt(a)
}

// Cancel withdraws an attempt that is in flight.
func (l *Loop) Cancel(id decision.RequestID, number int) {
	if c := l.calls[id]; c != nil && c.attempt != nil && c.attempt.number == number {
		c.attempt.Cancel()
	}
}

// Refuse answers a call that the client may safely retry.
func (l *Loop) Refuse(id decision.RequestID, retryAfter time.Duration) {
	l.answerRequest(id, Answer{Retryable: true, RetryAfter: retryAfter})
}

// Fail answers a call without a promise about retries.
func (l *Loop) Fail(id decision.RequestID) { l.answerRequest(id, Answer{}) }

// SetTimer has the Balancer's Timer called after a time.
func (l *Loop) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		l.Post(func() { l.balancer.Timer(l.now(), token) })
	})
}

// Watch begins to watch the endpoint list anew, or ends it.
func (l *Loop) Watch(on bool) {
	l.discovery.Stop()
	if on {
		l.discovery.Watch(l.watchFrom())
	}
}

// Fetch asks discovery for the full list once.
func (l *Loop) Fetch() { l.discovery.Fetch() }

// Log writes a note of the Balancer to the log.
func (l *Loop) Log(text string) { l.log.Info("decision.note", zap.String("text", text)) }
