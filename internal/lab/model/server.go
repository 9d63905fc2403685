package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

// Attempt is one transmission of a request by an instance to a server. The attempts of a request are
// numbered.
type Attempt struct {
	Request *Request
	Number  int
	Server  *Server
	SentAt  time.Duration
	// Finished is set once the sender no longer waits for a reply.
	Finished bool
	ReplyTo  Replier
	// connectionWork is the server's work for a new connection, in seconds of a core.
	connectionWork float64
}

// Replier receives a server's reply to an attempt, when the reply leaves the server.
type Replier interface {
	Reply(a *Attempt, status decision.Status, load *decision.Load)
}

// Server models a server: cores that work on one attempt each, a queue, and the active faults.
type Server struct {
	// Index is the index among the servers of all tiers.
	Index int
	Tier  *Tier
	w     *World
	// ordinal is the index among the servers of the tier.
	ordinal   int
	kind      *scenario.Kind
	kindIndex int
	speed     float64
	rng       *rand.Rand
	up        bool
	// state is the state that discovery announces.
	state decision.State
	// incarnation counts the shutdowns. Work that an earlier incarnation has scheduled is dropped.
	incarnation uint64
	// started is the time of the last start; 0 if the server started long ago.
	started  time.Duration
	draining bool
	// running are the attempts in progress, the oldest first.
	running []*Attempt
	queue   []*Attempt
	// calls are the open calls to the next tier.
	calls []*call
	// slowdown is the factor by which work takes longer.
	slowdown float64
	// errorRate is the share of errors in addition to that of the server's kind.
	errorRate   float64
	pausedUntil time.Duration
	// recentWork is the work received in the window that began at windowStart.
	recentWork  float64
	windowStart time.Duration
	// handledSinceRest counts the attempts since the last rest.
	handledSinceRest int
	// activeVanishes counts the active faults that make the server unreachable.
	activeVanishes int
	// partitions is a bit set of the partitions that separate the server from instances with the same bit.
	partitions uint64
	// connectionFault is the fault on the server's connections, "none" if there is none, and faultBytes its
	// size.
	connectionFault string
	faultBytes      int
	// pools contains the connections of each instance, if connections have a cost.
	pools           map[int]*connectionPool
	openConnections int
	// lastReport is the load report that was last created, at lastReportAt.
	lastReport   decision.Load
	lastReportAt time.Duration
}

// connectionPool counts the connections of one instance to a server.
type connectionPool struct{ idle, open int }

// addServer adds a server to a tier. Kind is the index of its kind. If it is negative, the kind is drawn by
// the kinds' shares.
func (w *World) addServer(t *Tier, kind int) *Server {
	ordinal := len(t.Servers)
	rng := Stream(w.seed, fmt.Sprint("server", t.Index), ordinal)
	if drawn := scenario.Pick(rng, len(w.Scenario.Kinds), func(j int) float64 { return w.Scenario.Kinds[j].Share }); kind < 0 {
		kind = drawn
	}
	k := &w.Scenario.Kinds[kind]
	s := &Server{
		Index: len(w.Servers), Tier: t, w: w, ordinal: ordinal, kind: k, kindIndex: kind, speed: k.Speed.Draw(rng), rng: rng,
		up: true, slowdown: 1, connectionFault: "none", pools: map[int]*connectionPool{},
	}
	t.Servers = append(t.Servers, s)
	w.Servers = append(w.Servers, s)
	return s
}

// ID returns the endpoint identifier under which instances know the server.
func (s *Server) ID() decision.EndpointID { return decision.EndpointID(s.Index + 1) }

// Description returns the properties that were drawn for the server.
func (s *Server) Description() string { return fmt.Sprint(s.kind.Name, " of speed ", s.speed) }

// IsSilent reports whether attempts to connect to the server get no response.
func (s *Server) IsSilent() bool { return s.activeVanishes > 0 || s.connectionFault == "syn" }

// location returns the zone and cell of the server.
func (s *Server) location() rules.Location {
	return rules.Location{Zone: s.ordinal % s.w.Scenario.Servers.Zones, Cell: s.ordinal / serversPerCell}
}

// IsListening reports whether the server accepts connections.
func (s *Server) IsListening() bool { return s.up }

// Entry returns the server's entry in the endpoint list of discovery.
func (s *Server) Entry() decision.Entry {
	p := s.location()
	return decision.Entry{
		Endpoint: s.ID(), Zone: p.Zone, Cell: p.Cell, Kind: s.kindIndex, State: s.state, Started: s.started,
		Weight: float64(s.kind.Cores),
	}
}

// capacityShare returns the present share of the server's full capacity, which is less than 1 while the server
// warms up.
func (s *Server) capacityShare() float64 {
	cold := time.Duration(s.w.Scenario.Servers.WarmUp)
	if s.started == 0 || cold == 0 || s.w.Now() >= s.started+cold {
		return 1
	}
	from := s.w.Scenario.Servers.ColdCapacity
	return from + (1-from)*float64(s.w.Now()-s.started)/float64(cold)
}

// Connect assigns a connection to an attempt, an idle one if possible, and returns the time that connecting
// takes. It fails if the server's connection limit is reached. Connections have no cost if the server's kind
// sets neither a limit nor a handshake.
func (s *Server) Connect(a *Attempt) (duration time.Duration, ok bool) {
	if s.kind.MaxConnections == 0 && s.kind.Handshake == 0 {
		return 0, true
	}
	c := s.pools[a.Request.Instance.Index]
	if c == nil {
		c = &connectionPool{}
		s.pools[a.Request.Instance.Index] = c
	}
	if c.idle > 0 {
		c.idle--
		return 0, true
	}
	if s.kind.MaxConnections > 0 && s.openConnections >= s.kind.MaxConnections {
		return 0, false
	}
	c.open++
	s.openConnections++
	s.w.Result.Connects++
	a.connectionWork = time.Duration(s.kind.Handshake).Seconds()
	return 2 * s.w.Latency(), true
}

// Release releases the connection of an attempt. With keep it becomes idle for a further attempt, otherwise
// it is closed.
func (s *Server) Release(a *Attempt, keep bool) {
	c := s.pools[a.Request.Instance.Index]
	switch {
	case c == nil || c.open == 0:
	case keep && c.idle < c.open:
		c.idle++
	case !keep:
		c.open--
		c.idle = min(c.idle, c.open)
		s.openConnections--
	}
}

// Receive handles an attempt that arrives.
func (s *Server) Receive(a *Attempt) {
	if !s.up {
		s.reply(a, decision.ConnectFailed)
		return
	}
	if s.connectionFault == "slow_read" {
		incarnation := s.incarnation
		s.w.After(s.slowTransferTime(), func() {
			if incarnation == s.incarnation {
				s.admit(a)
			}
		})
		return
	}
	s.admit(a)
}

// slowTransferTime returns the time that a short message takes if it is transferred in chunks of faultBytes, one in each
// chunkInterval.
func (s *Server) slowTransferTime() time.Duration {
	const messageBytes, chunkInterval = 300, 20 * time.Millisecond
	return time.Duration(math.Ceil(messageBytes/float64(max(s.faultBytes, 1)))) * chunkInterval
}

// admit starts the work on an attempt, queues it or rejects it.
func (s *Server) admit(a *Attempt) {
	s.recordColdLoad(a)
	switch {
	case !s.up:
		s.reply(a, decision.Reset)
	case s.kind.Slots > 0 && len(s.running)+len(s.queue)+len(s.calls) >= s.kind.Slots:
		s.reply(a, decision.Rejected)
	case len(s.running) < s.kind.Cores && s.w.Now() >= s.pausedUntil:
		s.startWork(a)
	case len(s.queue) >= s.kind.Queue:
		s.reply(a, decision.Rejected)
	default:
		s.queue = append(s.queue, a)
	}
}

// recordColdLoad adds an attempt to the load of a server that is warming up. The server crashes if the work
// of a window exceeds its present capacity by the scenario's multiple.
func (s *Server) recordColdLoad(a *Attempt) {
	multiple, window := s.w.Scenario.Servers.OverloadMultiple, time.Duration(s.w.Scenario.Servers.OverloadWindow)
	if s.capacityShare() >= 1 || multiple == 0 {
		return
	}
	if s.w.Now()-s.windowStart >= window {
		s.recentWork, s.windowStart = 0, s.w.Now()
	}
	s.recentWork += a.Request.Work
	capacity := window.Seconds() * float64(s.kind.Cores) * s.speed * s.capacityShare()
	if load := s.recentWork / capacity; load > multiple {
		s.w.Checker.ColdServerOverloaded(s.w.Now(), s.Index, load)
		s.crash(overloadDowntime)
	}
}

// startWork starts the work on an attempt and schedules its end.
func (s *Server) startWork(a *Attempt) {
	s.running = append(s.running, a)
	s.w.Checker.ExecutionStarted(s.w.Now(), string(a.Request.ID), s.location())
	duration := (a.Request.Work + a.connectionWork) / (s.speed * s.capacityShare()) * s.slowdown
	if n := len(s.running) + len(s.queue); s.kind.ThrashThreshold > 0 && n > s.kind.ThrashThreshold {
		duration *= 1 + s.kind.ThrashFactor*float64(n-s.kind.ThrashThreshold)/float64(s.kind.ThrashThreshold)
	}
	status := decision.OK
	if s.rng.Float64() < s.kind.ErrorRate+s.errorRate {
		status, duration = decision.Error, duration/10
	}
	incarnation := s.incarnation
	s.w.After(time.Duration(duration*float64(time.Second)), func() { s.finishWork(a, status, incarnation) })
}

// finishWork ends the work on an attempt, after the end of a pause if the server is paused.
func (s *Server) finishWork(a *Attempt, status decision.Status, incarnation uint64) {
	if incarnation != s.incarnation {
		return // the server has shut down since
	}
	if s.w.Now() < s.pausedUntil {
		s.w.After(s.pausedUntil-s.w.Now(), func() { s.finishWork(a, status, incarnation) })
		return
	}
	if !slices.Contains(s.running, a) {
		return // it was cancelled
	}
	s.running = remove(s.running, a)
	if s.handledSinceRest++; s.kind.RestAfter > 0 && s.handledSinceRest >= s.kind.RestAfter {
		s.handledSinceRest = 0
		s.pause(s.kind.RestDuration.Draw(s.rng))
	}
	if status == decision.OK && s.Tier.Index+1 < len(s.w.Tiers) && !(a.Finished && s.kind.CancelSaves != "nothing") {
		s.callNextTier(a)
	} else {
		s.reply(a, status)
	}
	s.startQueued()
}

// remove returns a slice without an element.
func remove[T comparable](all []T, x T) []T {
	return slices.DeleteFunc(all, func(y T) bool { return x == y })
}

// startQueued starts the work on queued attempts while cores are free. It drops cancelled attempts, unless
// cancellation saves no work in the server's kind.
func (s *Server) startQueued() {
	for s.up && s.w.Now() >= s.pausedUntil && len(s.running) < s.kind.Cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		if !a.Finished || s.kind.CancelSaves == "nothing" {
			s.startWork(a)
		}
	}
}

// Cancel handles the event that the sender of an attempt has closed its connection.
func (s *Server) Cancel(a *Attempt) {
	if s.kind.CancelSaves != "all" {
		return // startQueued decides whether a cancelled attempt is still worked on
	}
	s.running, s.queue = remove(s.running, a), remove(s.queue, a)
	for _, c := range slices.Clone(s.calls) {
		if c.attempt == a {
			s.abandonCall(c)
		}
	}
	s.startQueued()
}

// reply sends the outcome of an attempt back, subject to the faults on the server's connections.
func (s *Server) reply(a *Attempt, status decision.Status) {
	if n := s.w.Scenario.Network.ResetRate; n > 0 && s.rng.Float64() < n {
		status = decision.Reset
	}
	if s.w.sockets == nil && status != decision.ConnectFailed { // real sockets carry out the fault themselves
		switch s.connectionFault {
		case "reset", "cut", "half_close":
			status = decision.Reset
		case "garbage":
			status = decision.InvalidResponse
		case "stall":
			return // no reply is sent
		case "slow_write":
			s.w.After(s.slowTransferTime(), func() { a.ReplyTo.Reply(a, status, s.loadReport()) })
			return
		}
	}
	a.ReplyTo.Reply(a, status, s.loadReport())
}

// loadReport returns the load report of a reply, or nil if the server's kind reports no load. The report is
// renewed at the kind's interval and contains random noise.
func (s *Server) loadReport() *decision.Load {
	k := s.kind
	if !k.ReportsLoad {
		return nil
	}
	if now := s.w.Now(); s.lastReportAt == 0 || now-s.lastReportAt >= time.Duration(k.ReportInterval) {
		noisy := func(x float64) float64 { return x * (1 + k.ReportNoise*(2*s.rng.Float64()-1)) }
		busy := float64(len(s.running))
		s.lastReportAt = now
		s.lastReport = decision.Load{
			InFlight: noisy(busy + float64(len(s.queue)+len(s.calls))), Queue: noisy(float64(len(s.queue))),
			Util: min(noisy(busy/float64(k.Cores)), 1), Service: -1,
		}
	}
	l := s.lastReport
	return &l
}
