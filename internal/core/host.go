package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// The methods below are the Host. They never block and never call the Balancer.

func (l *Loop) Send(id decision.RequestID, to decision.EndpointID, timeout, within time.Duration) {
	c := l.calls[id]
	a := NewAttempt(c, l.endpoints.byID[to], timeout, l)
	if within > 0 {
		a.SendBy = a.sentAt.Add(within)
	}
	c.attempts++
	c.attempt = a
	conn, ok := l.pool.acquire(a.Endpoint, a.sentAt)
	go func() {
		defer a.Close()
		res := Result{Status: decision.NotSent}
		if ok {
			res = l.upstream.Send(a, conn)
		}
		l.Post(func() {
			if ok { // else it never had a place
				l.pool.release(a.Endpoint, res.Conn)
			}
			l.attemptEnded(a, res)
		})
	}()
}

func (l *Loop) Cancel(id decision.RequestID, number int) {
	if c := l.calls[id]; c != nil && c.attempt != nil && c.attempt.number == number {
		c.attempt.Cancel()
	}
}

func (l *Loop) Refuse(id decision.RequestID, retryAfter time.Duration) {
	l.end(id, Answer{Retryable: true, RetryAfter: retryAfter})
}

func (l *Loop) Fail(id decision.RequestID) { l.end(id, Answer{}) }

func (l *Loop) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		l.Post(func() { l.balancer.Timer(l.now(), token) })
	})
}

func (l *Loop) Watch(on bool) {
	l.discovery.Stop()
	if on {
		l.discovery.Watch(l.watchFrom())
	}
}

func (l *Loop) Fetch() { l.discovery.Fetch() }

func (l *Loop) Log(text string) { l.log.Info("decision.note", zap.String("text", text)) }
