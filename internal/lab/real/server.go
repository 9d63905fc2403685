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
	// serverIdleTimeout is how long a stand-in server keeps an idle connection.
	serverIdleTimeout = 30 * time.Second
	// maxBody is a number of bytes above the size of every request and answer of the laboratory.
	maxBody = 64 << 10
)

// discardLog is the error log of stand-in servers, whose connections break on purpose.
var discardLog = log.New(io.Discard, "", 0)

// reuse records whether a request was sent on a connection that earlier requests had used, and whether
// any byte of a response arrived.
type reuse struct{ reused, responded atomic.Bool }

func traceReuse(ctx context.Context) (context.Context, *reuse) {
	u := &reuse{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { u.reused.Store(i.Reused) },
		GotFirstResponseByte: func() { u.responded.Store(true) },
	}), u
}

// mayHaveRacedClose reports whether a request may have failed because the server closed the idle
// connection at the same time. The caller then sends it again. Each such failure removes a connection
// from the pool, so the number of repeats is limited.
func (u *reuse) mayHaveRacedClose() bool { return u.reused.Load() && !u.responded.Load() }

func drain(res *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBody))
	return err
}

// server serves a model.Server on a socket.
type server struct {
	run         *scenarioRun
	model       *model.Server
	address     string
	connections *connectionSet
	// Nil while the server does not listen.
	http     *http.Server
	listener net.Listener
	// Ends the blackhole at the server's address; nil if there is none.
	endBlackhole func()
}

// attempt is an attempt that has arrived at a server.
type attempt struct {
	model.Attempt
	done bool
	// The checker has been told of the attempt.
	reported bool
	// The time until the deadline when the attempt was sent, from the header X-Remaining.
	remaining time.Duration
	previous  *attempt
	// The report of the attempt was postponed until the end of the previous one could be observed.
	waited bool
}

// sentAt returns when an attempt was sent. The remaining time in its header tells this for an attempt
// that a partition has delayed.
func (a *attempt) sentAt(now time.Duration) time.Duration {
	if at := a.Request.Deadline - model.Grace - a.remaining; a.remaining > 0 && at < now {
		return at
	}
	return now
}

// serverName returns the name of a server's machine.
func serverName(s *model.Server) string { return fmt.Sprint("server ", s.Index) }

// listenAt makes a server listen, at its previous address if it had one.
func (run *scenarioRun) listenAt(s *model.Server) error {
	sv := run.servers[s.Index]
	if sv == nil {
		sv = &server{run: run, model: s, connections: newConnectionSet()}
		run.servers[s.Index] = sv
	}
	l, err := run.environment.Listen(serverName(s), s.Entry().Zone, sv.address)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.Index, err)
	}
	sv.address = l.Addr().String()
	sv.http = &http.Server{Handler: sv, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: serverIdleTimeout, ErrorLog: discardLog}
	sv.listener = l
	web := sv.http
	run.goroutines.Go(func() {
		err := web.Serve(faultyListener{l, sv.connections})
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			run.fail(err)
		}
	})
	return nil
}

// ServerStarted implements model.Sockets, as do ServerStopped, ResetConnections and SetConnectionFault.
func (run *scenarioRun) ServerStarted(s *model.Server) {
	if sv := run.servers[s.Index]; sv != nil && sv.endBlackhole != nil {
		return // SetConnectionFault makes the server listen when the blackhole ends
	}
	if err := run.listenAt(s); err != nil {
		run.fail(err)
	}
}

// ServerStopped resets a server's connections and stops listening.
func (run *scenarioRun) ServerStopped(s *model.Server) { run.servers[s.Index].stop() }

// ResetConnections resets all connections of a server.
func (run *scenarioRun) ResetConnections(s *model.Server) { run.servers[s.Index].connections.reset() }

// SetConnectionFault sets the fault on a server's connections. Under the kinds "syn" and "vanish" the
// server's address becomes a blackhole.
func (run *scenarioRun) SetConnectionFault(s *model.Server, kind string, size int) {
	sv := run.servers[s.Index]
	sv.connections.setFault(kind, size)
	silent := kind == noHandshake || kind == vanish
	switch {
	case silent && sv.endBlackhole == nil && sv.http != nil:
		sv.listener.Close() // established connections stay
		sv.http = nil
		end, err := run.environment.Blackhole(sv.address)
		if err != nil {
			run.fail(fmt.Errorf("server %d: %w", s.Index, err))
			return
		}
		sv.endBlackhole = end
	case !silent && sv.endBlackhole != nil:
		sv.endBlackhole()
		sv.endBlackhole = nil
		if !s.IsListening() {
			return // the server has stopped meanwhile
		}
		if err := run.listenAt(s); err != nil {
			run.fail(err)
		}
	}
}

func (sv *server) stop() {
	sv.connections.reset()
	if sv.http != nil {
		sv.http.Close()
		sv.http = nil
	}
}

func (sv *server) close() {
	sv.stop()
	if sv.endBlackhole != nil {
		sv.endBlackhole()
		sv.endBlackhole = nil
	}
	sv.connections.setFault("none", 0)
	sv.connections.reset()
}

// reply is the answer that the model's server gives to an attempt.
type reply struct {
	status decision.Status
	load   *decision.Load
}

// replier passes a reply to the handler of the attempt. Its capacity is 1.
type replier chan reply

func (r replier) Reply(a *model.Attempt, status decision.Status, l *decision.Load) {
	a.Finished = true
	select {
	case r <- reply{status, l}:
	default: // the attempt has a reply already
	}
}

// ServeHTTP handles an attempt.
func (sv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	run := sv.run
	replies := make(replier, 1)
	a := &attempt{Attempt: model.Attempt{Server: sv.model, ReplyTo: replies}}
	if us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Remaining"), "u"), 10, 64); err == nil {
		a.remaining = time.Duration(us) * time.Microsecond
	}
	id := decision.RequestID(r.Header.Get("X-Txn"))
	run.post(func() { run.attemptArrived(id, a) })
	select {
	case got := <-replies:
		run.post(func() { run.attemptEnded(a, got.status.String()) })
		write(w, got)
	case <-r.Context().Done():
		run.post(func() {
			run.attemptEnded(a, "its connection was closed")
			a.Finished = true
			if a.Request != nil {
				sv.model.Cancel(&a.Attempt)
			}
		})
	}
}

// write sends a reply in the form that the platform's protocol defines for its status. A status without
// such a form resets the connection.
func write(w http.ResponseWriter, got reply) {
	if l := got.load; l != nil {
		w.Header().Set("X-Pressure", fmt.Sprintf("inflight=%.2f,queue=%.2f,util=%.3f", l.InFlight, l.Queue, l.Util))
	}
	switch got.status {
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
			return // the connection is closed already
		}
		if faulty, ok := c.(*faultyConn); ok {
			faulty.reset()
		}
		c.Close()
	}
}

// delayedThreshold is the time between the sending and the arrival of an attempt above which a partition
// counts as the cause of the delay.
const delayedThreshold = 50 * time.Millisecond

// attemptArrived hands an attempt to the model's server, after the network's latency.
func (run *scenarioRun) attemptArrived(id decision.RequestID, a *attempt) {
	request := run.requests[id]
	if request == nil {
		run.world.Checker.AttemptSent(run.Now(), string(id), 0, a.Server.Index)
		a.ReplyTo.Reply(&a.Attempt, decision.Error, nil)
		return
	}
	a.Request, a.Number, a.SentAt = request.Request, request.attemptCount, run.Now()
	request.attemptCount++
	run.world.Result.Attempts++
	a.previous, request.lastAttempt = request.lastAttempt, a
	request.unreported = append(request.unreported, a)
	if !request.reportScheduled {
		run.reportAttempts(request)
	}
	run.After(run.world.Latency(), func() {
		if !a.Finished {
			a.Server.Receive(&a.Attempt)
		}
	})
}

// reportAttempts reports attempts to the checker in the order of their arrival, each after the end of
// the previous one was observed. The end is observed a little later than it happens, and across a
// partition only after the partition has healed. An attempt that the sender has given up before the
// partition let it through is closed at once, and is not reported.
func (run *scenarioRun) reportAttempts(request *pendingRequest) {
	request.reportScheduled = false
	for len(request.unreported) > 0 {
		next, now := request.unreported[0], run.Now()
		previous := next.previous
		delayed := now-next.sentAt(now) > delayedThreshold
		if !next.waited && (delayed || previous != nil && !previous.done) {
			next.waited = previous == nil || previous.done || !run.world.IsUnreachable(request.Instance, previous.Server)
			request.reportScheduled = true
			run.After(run.lateness, func() { run.reportAttempts(request) })
			return
		}
		request.unreported = request.unreported[1:]
		if request.departedAt > 0 && !delayed {
			run.world.Checker.AttemptAfterDeparture(next.sentAt(now), request.departedAt, string(request.ID), next.Number)
		}
		if request.completed || delayed && next.done { // sent before the client departed, or given up meanwhile
			continue
		}
		run.world.Checker.AttemptSent(next.sentAt(now), string(request.ID), next.Number, next.Server.Index)
		if next.reported = true; next.done {
			run.world.Checker.AttemptEnded(now, string(request.ID), next.Number, "ended before its report")
		}
	}
}

// attemptEnded records the end of an attempt.
func (run *scenarioRun) attemptEnded(a *attempt, reason string) {
	a.done = true
	if a.reported {
		run.world.Checker.AttemptEnded(run.Now(), string(a.Request.ID), a.Number, reason)
	}
}
