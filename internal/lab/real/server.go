package real

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
)

const (
	// serverIdle is how long a stand-in server keeps a connection that says nothing.
	serverIdle = 30 * time.Second
	// mostBody is more than a request of the laboratory's has.
	mostBody = 64 << 10
)

// quiet is the log of stand-in servers, whose connections are meant to break.
var quiet = log.New(io.Discard, "", 0)

// reuse tells of a request whether it went out on a connection that had been used, and whether anything came back.
type reuse struct{ reused, heard atomic.Bool }

func watchReuse(ctx context.Context) (context.Context, *reuse) {
	u := &reuse{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { u.reused.Store(i.Reused) },
		GotFirstResponseByte: func() { u.heard.Store(true) },
	}), u
}

// crossed tells whether a request that failed may have crossed the end of a connection between two requests, and so
// is sent once more on a new one: one of those can end each time, so that this ends.
func (u *reuse) crossed() bool { return u.reused.Load() && !u.heard.Load() }

func drain(res *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, mostBody))
	return err
}

// server is a model's server on a socket.
type server struct {
	st      *stage
	s       *model.Server
	address string
	conns   *conns
	http    *http.Server // nil while it does not listen
	open    net.Listener
	heard   func() // ends that connections to it never come up; nil unless that is so
}

// attempt is one that has come to a server.
type attempt struct {
	model.Attempt
	ended  bool
	told   bool          // the checker knows of it
	left   time.Duration // that it was told; what came late was sent when so much was left
	before *attempt
	waited bool // for what is on its way to show
}

// sent is when an attempt was sent: a link that was cut brings it later than the latency.
func (a *attempt) sent(now time.Duration) time.Duration {
	if at := a.Request.Deadline - model.Grace - a.left; a.left > 0 && at < now {
		return at
	}
	return now
}

// serverName is what a server's machine is called.
func serverName(s *model.Server) string { return fmt.Sprint("server ", s.Index) }

// listen has a server listen, at the address that it had.
func (st *stage) listen(s *model.Server) error {
	sv := st.servers[s.Index]
	if sv == nil {
		sv = &server{st: st, s: s, conns: newConns()}
		st.servers[s.Index] = sv
	}
	l, err := st.ground.Listen(serverName(s), s.Entry().Zone, sv.address)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.Index, err)
	}
	sv.address = l.Addr().String()
	sv.http = &http.Server{Handler: sv, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: serverIdle, ErrorLog: quiet}
	sv.open = l
	web := sv.http
	st.work.Go(func() {
		if err := web.Serve(listener{l, sv.conns}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			st.fail(err)
		}
	})
	return nil
}

// Up is the Sockets', as are the methods below.
func (st *stage) ServerStarted(s *model.Server) {
	if sv := st.servers[s.Index]; sv != nil && sv.heard != nil {
		return // it listens when that is over
	}
	if err := st.listen(s); err != nil {
		st.fail(err)
	}
}

func (st *stage) ServerStopped(s *model.Server) { st.servers[s.Index].stop() }

// Reset breaks its connections.
func (st *stage) ResetConnections(s *model.Server) { st.servers[s.Index].conns.reset() }

// Bytes has what a server sends and reads go wrong.
func (st *stage) SetConnectionFault(s *model.Server, how string, n int) {
	sv := st.servers[s.Index]
	sv.conns.set(how, n)
	silent := how == neverUp || how == vanish
	switch {
	case silent && sv.heard == nil && sv.http != nil:
		sv.open.Close() // its connections stay
		sv.http = nil
		heard, err := st.ground.Deaf(sv.address)
		if err != nil {
			st.fail(fmt.Errorf("server %d: %w", s.Index, err))
			return
		}
		sv.heard = heard
	case !silent && sv.heard != nil:
		sv.heard()
		sv.heard = nil
		if !s.IsListening() {
			return // it has ended meanwhile
		}
		if err := st.listen(s); err != nil {
			st.fail(err)
		}
	}
}

func (sv *server) stop() {
	sv.conns.reset()
	if sv.http != nil {
		sv.http.Close()
		sv.http = nil
	}
}

func (sv *server) close() {
	sv.stop()
	if sv.heard != nil {
		sv.heard()
		sv.heard = nil
	}
	sv.conns.set("none", 0)
	sv.conns.reset()
}

// reply is what a handler is to answer.
type reply struct {
	how  decision.Status
	load *decision.Load
}

// replier gives it to the handler.
type replier chan reply

func (r replier) Reply(a *model.Attempt, how decision.Status, l *decision.Load) {
	a.Finished = true
	select {
	case r <- reply{how, l}:
	default: // it has one
	}
}

// ServeHTTP works on an attempt.
func (sv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, mostBody)); err != nil {
		return
	}
	st := sv.st
	told := make(replier, 1)
	a := &attempt{Attempt: model.Attempt{Server: sv.s, ReplyTo: told}}
	if us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Remaining"), "u"), 10, 64); err == nil {
		a.left = time.Duration(us) * time.Microsecond
	}
	id := decision.RequestID(r.Header.Get("X-Txn"))
	st.post(func() { st.came(id, a) })
	select {
	case got := <-told:
		st.post(func() { st.ended(a, got.how.String()) })
		write(w, got)
	case <-r.Context().Done():
		st.post(func() {
			st.ended(a, "its connection was closed")
			a.Finished = true
			if a.Request != nil {
				sv.s.Cancel(&a.Attempt)
			}
		})
	}
}

// write answers as PROTOCOL's table says.
func write(w http.ResponseWriter, got reply) {
	if l := got.load; l != nil {
		w.Header().Set("X-Pressure", fmt.Sprintf("inflight=%.2f,queue=%.2f,util=%.3f", l.InFlight, l.Queue, l.Util))
	}
	switch got.how {
	case decision.OK:
		io.WriteString(w, "done\n")
	case decision.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case decision.Rejected:
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // it has ended
		}
		if broken, ok := c.(*conn); ok {
			broken.reset()
		}
		c.Close()
	}
}

// held is how much later than it was sent an attempt comes that a cut link has held.
const held = 50 * time.Millisecond

// came takes an attempt that has come to a server, after the network's latency.
func (st *stage) came(id decision.RequestID, a *attempt) {
	t := st.tries[id]
	if t == nil {
		st.w.Checker.AttemptSent(st.Now(), string(id), 0, a.Server.Index)
		a.ReplyTo.Reply(&a.Attempt, decision.Error, nil)
		return
	}
	a.Request, a.Number, a.SentAt = t.Request, t.number, st.Now()
	t.number++
	st.w.Result.Attempts++
	a.before, t.out = t.out, a
	t.untold = append(t.untold, a)
	if !t.telling {
		st.tell(t)
	}
	st.After(st.w.Latency(), func() {
		if !a.Finished {
			a.Server.Receive(&a.Attempt)
		}
	})
}

// tell tells the checker of attempts in the order in which they came, each once the one before is seen to be over. That
// is seen a moment after it is, and over a cut link only when that is whole again. One that such a link has held may have
// been given up long since by who sent it, which comes right behind it: it is nothing then.
func (st *stage) tell(t *try) {
	t.telling = false
	for len(t.untold) > 0 {
		a, now := t.untold[0], st.Now()
		b := a.before
		delayed := now-a.sent(now) > held
		if !a.waited && (delayed || b != nil && !b.ended) {
			a.waited = b == nil || b.ended || !st.w.IsUnreachable(t.Instance, b.Server)
			t.telling = true
			st.After(st.late, func() { st.tell(t) })
			return
		}
		t.untold = t.untold[1:]
		if t.left > 0 && !delayed {
			st.w.Checker.AttemptAfterDeparture(a.sent(now), t.left, string(t.ID), a.Number)
		}
		if t.answered || delayed && a.ended { // it was on its way when its caller went, or was given up
			continue
		}
		st.w.Checker.AttemptSent(a.sent(now), string(t.ID), a.Number, a.Server.Index)
		if a.told = true; a.ended {
			st.w.Checker.AttemptEnded(now, string(t.ID), a.Number, "it was over when its predecessor was")
		}
	}
}

// ended is the end of an attempt.
func (st *stage) ended(a *attempt, how string) {
	a.ended = true
	if a.told {
		st.w.Checker.AttemptEnded(st.Now(), string(a.Request.ID), a.Number, how)
	}
}
