package http1

import (
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
)

// Run serves the clients of a listener until it receives a signal on stop, and then shuts down
// gracefully. On a signal on reload it reads its configuration file again. It returns nil after a
// shutdown, or the error of the listener.
func (s *Server) Run(listener net.Listener, stop, reload <-chan os.Signal) error {
	s.clients.Listener = listener
	// The receiver is started first: as soon as this process can serve, its predecessor may be stopped,
	// which then looks for the receiver.
	if stopReceiving := s.receiveTransfers(); stopReceiving != nil {
		defer stopReceiving()
	}
	go s.loop.Run()
	defer s.loop.Close()
	ended := make(chan struct{})
	defer close(ended)
	go s.drainConnections(ended)
	go func() {
		for {
			select {
			case _, more := <-reload:
				if !more {
					return
				}
				s.reload()
			case <-ended:
				return
			}
		}
	}()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		var sig os.Signal
		select {
		case sig = <-stop:
		case <-ended:
			return
		}
		stats := s.loop.Stats()
		s.log.Info("process.stopping", zap.Stringer("signal", sig), zap.Int("calls", stats.Calls), zap.Int("out", stats.Attempts))
		s.shutdown()
	}()
	s.log.Info("process.serving", zap.String("name", s.config.Name), zap.Stringer("address", listener.Addr()))
	if s.sharesListener() {
		s.awaitFirstList()
	}
	accepted := make(chan error, 1)
	go func() { accepted <- s.accept() }()
	select {
	case err := <-accepted:
		if phase, _, _ := s.lifecycle.Now(); phase != core.Stopping {
			return err
		}
		<-stopped
	case <-stopped:
		// An accept may still block; see connTracker.closeListener. It is not waited for.
	}
	return nil
}

// awaitFirstList waits for the first list of endpoints. It is called if other processes may accept on
// the same socket. Without a list this process would reject requests that its predecessor can still
// serve. After firstListTimeout it stops waiting, because there may be no other process.
func (s *Server) awaitFirstList() {
	timeout := time.NewTimer(s.firstListTimeout)
	defer timeout.Stop()
	for {
		phase, _, changed := s.lifecycle.Now()
		if phase == core.Stopping || s.lifecycle.CanServe() {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.log.Warn("process.accepts_without_list", zap.Duration("after", s.firstListTimeout))
			return
		}
	}
}

// reload reads the configuration file again and switches to the discovery address that it names. The
// other settings keep their values from the start. An invalid file changes nothing.
func (s *Server) reload() {
	s.lastReload.Store(time.Now().UnixNano())
	c, err := s.config.Reload()
	if err != nil {
		s.log.Warn("reload.refused", zap.Error(err))
		return
	}
	s.log.Info("reload.taken", zap.String("discovery", c.Discovery))
	s.loop.SwitchDiscovery(c.Discovery)
}

// shutdown ends the server shortly before the platform kills the process, with all accepted requests
// answered. Until then the server continues to serve: load balancers send it no new clients, but
// existing clients keep using their connections and may have no other instance to go to.
//
//   - If there are other instances and the listener is not shared, idle connections are closed
//     redirectLead before the end, so that the last clients move to the other instances.
//   - If a successor accepts on the same listener, this process stops accepting and redirects its
//     clients as in a drain.
//   - It returns early once no client is connected.
//
// Requests are cut off if the platform kills the process earlier than documented.
func (s *Server) shutdown() {
	began := time.Now()
	end := began.Add(s.shutdownTimeout)
	if s.sharesListener() {
		s.findSuccessor()
	}
	if s.hasSuccessor() {
		defer s.startSendingState()()
	}
	serveUntil := end
	if s.config.Settings.Instances > 1 && !s.sharesListener() {
		serveUntil = end.Add(-min(s.redirectLead, s.shutdownTimeout-s.quietPeriod))
	}
	s.lifecycle.Stop(serveUntil, end)
	if s.sharesListener() {
		s.clients.closeListener() // closes this process's copy; the successor accepts on its own copy
	}
	s.loop.Drain(end, s.sharesListener())
	for time.Now().Before(serveUntil) && !s.canExit(time.Since(began)) {
		time.Sleep(shutdownPollInterval)
	}
	s.clients.closeListener()
	for time.Now().Before(end.Add(killMargin/2)) && !s.clients.onlyAnswering() {
		s.clients.expire(0, 0)
		time.Sleep(shutdownPollInterval)
	}
	s.clients.abortReads()
	s.clients.closeInStates(stateNew, stateIdle)
	for !s.clients.emptyFor(0) {
		// This loop ends: each answer that is left fails if its peer makes no progress, or is transferred.
		time.Sleep(shutdownPollInterval)
	}
}

// sharesListener reports whether the listening socket is inherited, so that a successor can accept on
// it when this process stops.
func (s *Server) sharesListener() bool { return s.config.Accept != nil }

// canExit reports whether no client is left. It is given the time since the signal to stop.
func (s *Server) canExit(sinceSignal time.Duration) bool {
	if s.sharesListener() {
		return s.clients.emptyFor(0)
	}
	return sinceSignal >= s.quietPeriod && s.clients.emptyFor(s.quietPeriod)
}
