package dataplane

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/routing"
)

const (
	// comeBack is when a client should try again that was turned away for want of room.
	comeBack = 250 * time.Millisecond
	// readyAgain is when a client should try again at a sidecar that has no configuration yet: after a restart of the whole
	// system one is there within half a second. A client that comes too early has used up its last try.
	readyAgain       = 700 * time.Millisecond
	readyAgainJitter = 150 * time.Millisecond
)

// serve answers one request of a client.
func (p *Process) serve(w http.ResponseWriter, r *http.Request) {
	p.underWay.Add(1)
	defer p.underWay.Add(-1)
	if p.stopping() {
		w.Header().Set("Connection", "close")
	}
	config := p.config.Load()
	if config == nil {
		(&refusal{kind: errkind.NotReady, retryAfter: readyAgain + rand.N(readyAgainJitter)}).answer(w)
		return
	}
	route, ok := config.routes.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		(&refusal{kind: errkind.NoRoute}).answer(w)
		return
	}
	if !p.admits(patience(r, route)) {
		refusalOfStopping().answer(w)
		return
	}
	q, err := readRequest(r, route, config.parsed.Limits, &p.memory.Bodies)
	defer func() { p.memory.Bodies.Release(q.held) }()
	if err != nil {
		refusalOfUnread(err).answer(w)
		return
	}
	q.again = p.deadlines.shorter(route.Name, r.Header.Get(headerDeadline))
	q.service = routing.SelectService(route, rand.Float64())
	if service, ok := config.parsed.Service(q.service); ok {
		q.engine = service.Engine
	}
	q.size = p.promptSizes.note(q.service, q.usage.prompt)
	if complete := p.carry(w, r.Context(), q); !complete {
		breakOff(w)
	}
}

// breakOff closes a client's connection in the middle of an answer, so that the answer does not look complete: neither a
// last chunk nor the rest of its length follows. The request's end has been recorded before.
func breakOff(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the writer cannot give its connection away: net/http itself must break it off
	}
	conn.Close()
}

// refusalOfUnread answers a request that could not be read.
func refusalOfUnread(err error) *refusal {
	refused := &refusal{kind: errkind.KindOf(err), detail: err.Error()}
	if refused.kind == errkind.Overloaded {
		refused.retryAfter = comeBack
	}
	return refused
}

// carry sends a request to endpoints until one answers, and passes the answer on. It records how the request ended, and
// tells whether what its client has is complete; the connection to the client of a cut answer is still to be broken off.
func (p *Process) carry(w http.ResponseWriter, clientCtx context.Context, q *request) (complete bool) {
	ctx, cancel := context.WithDeadline(clientCtx, q.deadline)
	defer cancel()
	release := context.AfterFunc(p.ending, cancel)
	defer release()
	c := &carrying{process: p, request: q, ctx: ctx, writer: w, exclude: map[string]bool{}}
	p.post(func() {
		p.budget.CountRequest(p.now(), q.service)
		p.demand.request(q.key(), q.usage.work())
	})
	var refused *refusal
	defer func() { c.ended(refused) }()
	refused = c.run()
	if c.begun {
		c.withdrawn = c.withdrawn || refused != nil && clientCtx.Err() != nil
		return refused == nil
	}
	if refused != nil {
		refused.answer(w)
	}
	return true
}

// ended tells the owner that the request is over.
func (c *carrying) ended(refused *refusal) {
	p, key, begun := c.process, c.request.key(), c.begun
	end := c.end(refused)
	var explained Explained
	if end.result != resultInTime {
		explained = c.explained(end)
	}
	p.post(func() {
		p.count(end)
		if end.result != resultInTime {
			p.late.note(explained)
		}
		if !begun {
			p.demand.begun(key)
		}
		p.demand.ended(key)
	})
}

// carrying is one request on its way.
type carrying struct {
	process *Process
	request *request
	ctx     context.Context
	writer  http.ResponseWriter
	exclude map[string]bool
	sent    int  // how often it was sent
	ran     int  // how many sendings may have run
	begun   bool // the head of an answer has gone to the client

	lastEvent string // id of the last event that has gone to the client
	version   string // of the weights that the stream began with

	account   account
	chosen    routing.Candidate
	withdrawn bool // its client left while it was answered, whether or not a piece of the answer could not be written
}

// run sends the request until it is answered. A refusal is still to be written, or says why an answer was cut that has begun.
func (c *carrying) run() *refusal {
	for {
		endpoint, refused := c.choose()
		if refused != nil {
			return c.final(refused)
		}
		outcome := c.attempt(endpoint)
		c.process.finish(endpoint, c.query(), outcome)
		if outcome.answered {
			c.withdrawn = outcome.result == routing.Canceled
			return nil
		}
		if refused := c.after(endpoint, outcome); refused != nil {
			return c.final(refused)
		}
	}
}

// final makes a refusal true to what has happened: nothing is promised of what may have run.
func (c *carrying) final(refused *refusal) *refusal {
	if c.ran > 0 && errkind.AnswerOf(refused.kind).NotExecuted {
		return &refusal{kind: errkind.EndpointFailed, detail: refused.detail}
	}
	return refused
}

func (c *carrying) query() routing.Query {
	q := c.request
	return routing.Query{Service: q.service, Model: q.model, Adapter: q.adapter, Affinity: q.affinity(), Exclude: c.exclude}
}

// after decides whether a request that was not answered is sent again. A refusal ends it.
func (c *carrying) after(endpoint *routing.Endpoint, outcome outcome) *refusal {
	q := c.request
	if outcome.mayHaveRun {
		c.ran++
	}
	if c.ctx.Err() != nil {
		return c.expired()
	}
	if c.begun && (!q.route.Repeatable() || c.lastEvent == "") {
		return &refusal{kind: outcome.kind}
	}
	if outcome.mayHaveRun {
		if !q.route.Repeatable() || c.ran >= max(int(q.route.MaxAttempts), 1) {
			return &refusal{kind: outcome.kind, detail: outcome.detail}
		}
	}
	if outcome.result != routing.RejectedFull {
		c.exclude[endpoint.ID] = true
	}
	if c.sent > 0 && !c.mayRepeat() {
		return &refusal{kind: errkind.Overloaded, detail: "no further sending is allowed", retryAfter: c.comeBack()}
	}
	return nil
}

func (c *carrying) mayRepeat() bool {
	const mostSendings = 6
	if c.sent >= mostSendings {
		return false
	}
	p := c.process
	return ask(p, func() bool { return p.budget.AllowRetry(p.now(), c.request.service) })
}

// expired is the answer to a request whose time is over.
func (c *carrying) expired() *refusal {
	if c.ran == 0 {
		return &refusal{kind: errkind.DeadlineExceeded, retryAfter: c.comeBack()}
	}
	return &refusal{kind: errkind.EndpointTimeout}
}

func (c *carrying) comeBack() time.Duration {
	return comeBack + rand.N(comeBack)
}
