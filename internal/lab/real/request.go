package real

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/rules"
)

// try is one request on its way through an instance.
type try struct {
	*model.Request
	answered bool
	excused  atomic.Bool   // its instance was killed
	left     time.Duration // when its caller went; 0 for not
	number   int           // of attempts that have come to servers
	out      *attempt
	untold   []*attempt // of which the checker does not know yet
	telling  bool       // it will in a moment
	cancel   context.CancelFunc
}

// forgetAfter is how long a try is known after its answer: an attempt may still be on its way to a server.
const forgetAfter = 2 * time.Second

// Take sends a try to its instance.
func (st *stage) Accept(m *model.Request) {
	i := st.of(m.Instance)
	if m.Deadline <= st.Now() {
		return // nobody waits for it
	}
	if i.process == nil {
		m.Requester.Complete(m, model.Unreachable, 0)
		return
	}
	c := st.w.Scenario.Classes[m.Class]
	st.w.Checker.RequestAccepted(st.Now(), rules.Request{
		ID: string(m.ID), Origin: m.Origin, Instance: m.Instance.Index, Deadline: m.Deadline,
		Effect: c.Effect, Scope: c.Scope, Window: time.Duration(c.Window),
	})
	ctx, cancel := context.WithDeadline(st.ctx, st.at(m.Deadline+model.Grace+st.late))
	t := &try{Request: m, cancel: cancel}
	st.tries[m.ID] = t
	team := ""
	if len(st.w.Scenario.Teams) > 0 {
		team = st.w.Scenario.Teams[m.Team].Name
	}
	q := question{
		url: i.url, id: string(m.ID), class: c.Name, effect: c.Effect, team: team, key: m.Origin, repeat: m.IsRetry,
		left: st.at(m.Deadline),
	}
	st.behave(t, &q, i)
	st.work.Go(func() {
		defer cancel()
		a := q.ask(ctx, i.client, &t.excused)
		st.post(func() { st.answered(t, a) })
	})
}

const (
	goneWithin = 60 * time.Millisecond // a caller that goes before its answer
	pieces     = 8                     // of a body that comes in pieces
	pieceEvery = 5 * time.Millisecond
	pieceSize  = 4 << 10
	junkFor    = 4 * time.Second // within which what is no request has to be answered, or its connection closed
)

// behave is what callers do to a share of what they ask.
func (st *stage) behave(t *try, q *question, i *instance) {
	some := func(what string) bool {
		share := st.w.MisbehaviorShare(what)
		return share > 0 && st.manners.Float64() < share
	}
	if some("gone") {
		st.After(time.Duration(1+st.manners.Int64N(int64(goneWithin))), func() {
			if !t.answered && st.Now() < t.Deadline {
				t.answered, t.left = true, st.Now()
				st.w.Checker.ClientDeparted(st.Now(), q.id)
				t.cancel()
				t.Requester.Complete(t.Request, model.Failed, 0)
				st.After(forgetAfter, func() { delete(st.tries, t.ID) })
			}
		})
	}
	if some("dribble") && q.effect != string(decision.Safe) {
		q.pieces, q.left = pieces, q.left.Add(-pieces*pieceEvery) // the time counts from the last byte
	}
	if some("twice") && i.alone() { // two processes know nothing of each other's ids
		copied := *q
		copied.pieces = 0
		st.After(time.Millisecond, func() {
			st.work.Go(func() { copied.once(st.ctx, i.client) }) // turned away: what it is told is nobody's answer
		})
	}
	if some("junk") {
		st.work.Go(func() {
			if err := st.junk(strings.TrimPrefix(i.url, "http://")); err != nil {
				st.post(func() {
					if i.process != nil && !t.excused.Load() && st.ctx.Err() == nil {
						st.fail(err)
					}
				})
			}
		})
	}
}

// alone tells whether an instance has one process.
func (i *instance) alone() bool {
	n := 0
	for _, p := range i.all {
		select {
		case <-p.Ended():
		default:
			n++
		}
	}
	return n == 1
}

// junk sends what is no request, and tells if that is neither answered nor its connection closed in time.
func (st *stage) junk(address string) error {
	ctx, stop := context.WithTimeout(st.ctx, junkFor)
	defer stop()
	c, err := st.ground.Dial(ctx, "tcp", address)
	if err != nil {
		return nil // nobody is there
	}
	defer c.Close()
	release := context.AfterFunc(st.ctx, func() { c.Close() })
	defer release()
	c.SetDeadline(time.Now().Add(junkFor))
	io.WriteString(c, "POST /lab HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
	_, err = io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("what is no request was neither answered nor ended within %v", junkFor)
	}
	return nil
}

// slowBody comes in pieces.
type slowBody struct {
	ctx  context.Context
	left int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	select {
	case <-time.After(pieceEvery):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n := min(len(p), pieceSize)
	clear(p[:n])
	return n, nil
}

// answered is what became of a try.
func (st *stage) answered(t *try, a answer) {
	if t.answered {
		return
	}
	t.answered = true
	now, id := st.Now(), string(t.ID)
	switch {
	case a.err == nil:
		st.w.Checker.RequestAnswered(now, id, a.how)
	case t.excused.Load():
		st.w.Checker.ProcessKilled(now, id)
	case errors.Is(a.err, syscall.ECONNREFUSED): // nobody has taken it
		st.w.Checker.ProcessKilled(now, id)
		a.how = model.Unreachable
	case errors.Is(a.err, context.DeadlineExceeded):
		st.w.Checker.ClientDeparted(now, id)
	default:
		st.w.Checker.ConnectionLost(now, id, a.err)
	}
	t.Requester.Complete(t.Request, a.how, a.retryAfter)
	st.After(forgetAfter, func() { delete(st.tries, t.ID) })
}

// Lapse is for a try that nobody waits for. At its deadline the answer may still come in time.
func (st *stage) Abandon(m *model.Request) {
	t := st.tries[m.ID]
	if t == nil || t.Request != m || t.answered || st.Now() >= m.Deadline {
		return
	}
	t.answered = true
	st.w.Checker.ClientDeparted(st.Now(), string(m.ID))
	t.cancel()
	st.After(forgetAfter, func() { delete(st.tries, m.ID) })
}

// question is a request as it goes out.
type question struct {
	url, id, class, effect, team, key string
	repeat                            bool
	pieces                            int // that its body comes in; 0 for a short one at once
	left                              time.Time
}

// answer is what came of it.
type answer struct {
	how        string
	retryAfter time.Duration
	err        error // no answer came
}

// ask sends it, and once more where the connection that it went out on was ended between two requests, and not because
// its process was killed.
func (q question) ask(ctx context.Context, client *http.Client, killed *atomic.Bool) answer {
	for {
		a, again := q.once(ctx, client)
		if !again || killed.Load() {
			return a
		}
	}
}

func (q question) once(ctx context.Context, client *http.Client) (_ answer, again bool) {
	method := http.MethodPost
	if q.effect == string(decision.Safe) {
		method = http.MethodGet
	}
	trace, used := watchReuse(ctx)
	var body io.Reader
	if method == http.MethodPost {
		// One that net/http cannot send again by itself, as it would what carries a key.
		body = io.MultiReader(strings.NewReader("lab"))
	}
	r, err := http.NewRequestWithContext(trace, method, q.url+"/lab", body)
	if err != nil {
		return answer{how: model.Failed, err: err}, false
	}
	if body != nil {
		r.ContentLength = int64(len("lab"))
	}
	if body != nil && q.pieces > 0 {
		r.Body, r.ContentLength = io.NopCloser(&slowBody{ctx, q.pieces}), -1
	}
	r.Header.Set("X-Txn", q.id)
	r.Header.Set("X-Lane", q.class)
	r.Header.Set("X-Remaining", fmt.Sprintf("%du", max(time.Until(q.left).Microseconds(), 0)))
	if q.team != "" {
		r.Header.Set("X-Org", q.team)
	}
	if q.repeat {
		r.Header.Set("X-Resent", "1")
	}
	if q.effect == string(decision.Keyed) {
		r.Header["Idempotency-Key"] = []string{q.key}
	}
	res, err := client.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			return answer{how: model.Failed, err: ctx.Err()}, false
		}
		return answer{how: model.Failed, err: err}, used.crossed()
	}
	defer res.Body.Close()
	if err := drain(res); err != nil {
		return answer{how: model.Failed, err: err}, false
	}
	switch res.StatusCode {
	case http.StatusOK:
		return answer{how: model.Served}, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after, _ := time.ParseDuration(strings.TrimSpace(res.Header.Get("Retry-After")) + "s") // none is 0
		return answer{how: model.Refused, retryAfter: after}, false
	}
	return answer{how: model.Failed}, false
}
